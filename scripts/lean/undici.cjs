// Exports the parts of undici that a node uses. The package's main module also loads fetch, WebSocket, caches and mocks,
// which takes a quarter of the processor time of a start.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
// The main module adds the API methods to its dispatchers in the same way.
Dispatcher.prototype.request = require("undici/lib/api/api-request.js");

exports.Client = require("undici/lib/dispatcher/client.js");
exports.Pool = require("undici/lib/dispatcher/pool.js");
exports.buildConnector = require("undici/lib/core/connect.js");
exports.errors = require("undici/lib/core/errors.js");
