// Loads Koa when the first application is created, since a starting node serves callers before addresses or metrics are
// requested.
module.exports = function createKoa(options) {
    const Koa = require("koa");
    return new Koa(options);
};
