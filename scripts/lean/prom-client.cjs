// Exports the metric types that a node uses. The package's main module also loads the push gateway, the default metrics and
// clustering.
exports.Counter = require("prom-client/lib/counter.js");
exports.Gauge = require("prom-client/lib/gauge.js");
exports.Histogram = require("prom-client/lib/histogram.js");
exports.Registry = require("prom-client/lib/registry.js");
