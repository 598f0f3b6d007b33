// Runs the bundled program with its V8 code cache.
//
// While the program of a node loads, the operating system would refuse the connections of callers, and each caller has only
// a few attempts. Therefore the launcher first opens the listening socket. Connections wait in the system's accept queue
// until the program accepts them.
//
// Usage: launch.cjs [HOST:PORT of callers]
//
// A reload signal (SIGHUP) that arrives while the program loads would end the process, and callers would lose a node that
// has just started. It can be ignored, since the settings are read after loading. The program later installs its own
// handler.
process.on("SIGHUP", () => undefined);
const { readFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { join } = require("node:path");
const { loadBundle } = require("./loadBundle.cjs");

/** Loads the program and passes it the listening server, which it takes over before any connection is accepted. */
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
