// The parts of undici that a node uses. The package's main module also loads fetch, WebSocket, caches and mocks, a
// quarter of a start's processor time.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
// The main module adds the calls to its dispatchers in the same way.
Dispatcher.prototype.request = require("undici/lib/api/api-request.js");

exports.Pool = require("undici/lib/dispatcher/pool.js");
exports.buildConnector = require("undici/lib/core/connect.js");
exports.errors = require("undici/lib/core/errors.js");
