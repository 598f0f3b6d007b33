// Writes the V8 code cache of the bundle to target/node.cache. The cache contains only functions that have run, so two nodes
// serve a few requests first; otherwise a node would compile that code while callers wait.
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { loadBundle } = require("../deploy/loadBundle.cjs");

const folder = join(__dirname, "..", "target");
const { program, script } = loadBundle(join(folder, "node.cjs"), undefined);
const content = readFileSync(join(__dirname, "sampleSettings.ini"), "utf8");
program.createParts(content);
program.rehearse(content).catch(error => {
    // Without loopback addresses the cache is smaller, and nodes start a little later.
    console.error(`The rehearsal failed: ${error}`);
}).finally(() => {
    writeFileSync(join(folder, "node.cache"), script.createCachedData());
    // The nodes and the created parts hold timers, which would keep the process alive.
    process.exit(0);
});
