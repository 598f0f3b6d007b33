// Keeps the compiled code of the bundle in target/node.cache. V8 keeps the code of functions that have run, so all parts of a
// node are created before; loading them later would compile them while callers wait.
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { loadBundle } = require("../deploy/loadBundle.cjs");

const folder = join(__dirname, "..", "target");
const { program, script } = loadBundle(join(folder, "node.cjs"), undefined);
program.createParts(readFileSync(join(__dirname, "sampleSettings.ini"), "utf8"));
writeFileSync(join(folder, "node.cache"), script.createCachedData());
// Parts that were created may hold timers.
process.exit(0);
