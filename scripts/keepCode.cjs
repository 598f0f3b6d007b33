// Keeps the compiled code of the bundle in target/node.cache. V8 keeps the code of functions that have run, so two nodes serve a
// few requests before; what is compiled later is compiled while callers wait.
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { loadBundle } = require("../deploy/loadBundle.cjs");

const folder = join(__dirname, "..", "target");
const { program, script } = loadBundle(join(folder, "node.cjs"), undefined);
const { warmUp } = require(join(folder, "warmUp.cjs"));
const settings = readFileSync(join(__dirname, "warmUp.ini"), "utf8");

/** Where nodes cannot run while they are built, the program is kept as it was loaded: it starts slower, and works. */
const longestMilliseconds = 20_000;

function keep() {
    writeFileSync(join(folder, "node.cache"), script.createCachedData());
    process.exit(0);
}

setTimeout(() => {
    console.error("The warm-up did not end in time; the compiled code holds a part of what requests need.");
    keep();
}, longestMilliseconds);
warmUp(program.createNode, settings).catch(error => console.error(error)).finally(keep);
