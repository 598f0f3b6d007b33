// Writes the V8 code cache of the bundle to target/node.cache. The cache contains only functions that have run, so all parts
// of a node are created first; otherwise a node would compile their code while callers wait.
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { loadBundle } = require("../deploy/loadBundle.cjs");

const folder = join(__dirname, "..", "target");
const { program, script } = loadBundle(join(folder, "node.cjs"), undefined);
program.createParts(readFileSync(join(__dirname, "sampleSettings.ini"), "utf8"));
writeFileSync(join(folder, "node.cache"), script.createCachedData());
// The created parts may hold timers, which would keep the process alive.
process.exit(0);
