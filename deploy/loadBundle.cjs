// Evaluates a bundled CommonJS module as a `vm.Script`, so that its compiled code can be cached.
const { readFileSync } = require("node:fs");
const { createRequire, wrap } = require("node:module");
const { dirname } = require("node:path");
const { Script } = require("node:vm");

/**
 * Loads a bundle and returns its exports and its script.
 * @param {string} file - Path of the bundle.
 * @param {Buffer | undefined} cachedData - Code cache of an earlier load. V8 rejects a cache of another V8 release.
 */
exports.loadBundle = function loadBundle(file, cachedData) {
    const script = new Script(wrap(readFileSync(file, "utf8")), { filename: file, cachedData });
    const module = { exports: {} };
    script.runInThisContext().call(module.exports, module.exports, createRequire(file), module, file, dirname(file));
    return { program: module.exports, script };
};
