// Koa, loaded when the first application is created: callers are served before anybody asks for addresses or metrics.
module.exports = function createKoa(options) {
    const Koa = require("koa");
    return new Koa(options);
};
