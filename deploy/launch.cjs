// Runs the bundled program with V8's compiled code beside it.
//
// Callers that connect to a node whose program still loads would be turned away by the system, and each of them has few tries. So
// the first thing that the launcher does is to listen; connections wait in the system's queue until the program takes them.
//
// Usage: launch.cjs [HOST:PORT of callers]
//
// A signal to reload that arrives while the program loads would end the process, and callers would lose a node that has just
// started; the settings are read after the loading anyway. The program takes the signal over.
process.on("SIGHUP", () => undefined);
const { readFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { join } = require("node:path");
const { loadBundle } = require("./loadBundle.cjs");

/** Loads the program and hands it what is ready. The program takes the server over before any connection is accepted. */
function run(callerServer) {
    const folder = join(__dirname, "..", "target");
    const { program, script } = loadBundle(join(folder, "node.cjs"), readFileSync(join(folder, "node.cache")));
    program.main({ callerServer, isCompiledCodeRefused: script.cachedDataRejected }).catch(error => {
        console.error(error);
        process.exit(1);
    });
}

const [, host, port] = /^([^:]+):(\d+)$/.exec(process.argv[2] ?? "") ?? [];
if (host === undefined) {
    run(undefined);
}
else {
    const server = createServer();
    server.once("error", error => {
        console.error(error);
        process.exit(1);
    });
    server.listen({ host, port: Number(port) }, () => run(server));
}
