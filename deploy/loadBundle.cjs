// Evaluates a bundled CommonJS module by way of a script, whose compiled code can be kept.
const { readFileSync } = require("node:fs");
const { createRequire, wrap } = require("node:module");
const { dirname } = require("node:path");
const { Script } = require("node:vm");

/**
 * Loads a bundle.
 * @param {string} file - Its path.
 * @param {Buffer | undefined} cachedData - Compiled code of an earlier load. V8 passes over code of another release.
 */
exports.loadBundle = function loadBundle(file, cachedData) {
    const script = new Script(wrap(readFileSync(file, "utf8")), { filename: file, cachedData });
    const module = { exports: {} };
    script.runInThisContext().call(module.exports, module.exports, createRequire(file), module, file, dirname(file));
    return { program: module.exports, script };
};
