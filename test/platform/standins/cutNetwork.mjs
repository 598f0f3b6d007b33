// Simulates a machine that has lost the path to all runners: loaded before a node's program, it changes connections to one port.
// The file named in CUT_FILE holds the current state: `none`, `silent` (connections hang), `reset` (they are
// reset, and new ones refused) or `kept` (they live on, and new ones are refused), and CUT_PORT the port.
import fs from "node:fs";
import net from "node:net";

const port = Number(process.env.CUT_PORT);
const pollMilliseconds = 10;
const open = new Set();
let state = "none";

setInterval(() => {
    const next = fs.readFileSync(process.env.CUT_FILE, "utf8");
    if (next !== "" && next !== state) {
        state = next;
        for (const socket of open) {
            cutOpenSocket(socket);
        }
    }
}, pollMilliseconds).unref();

function cutOpenSocket(socket) {
    if (state === "silent") {
        silence(socket);
    }
    if (state === "reset") {
        socket.destroy(Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET", syscall: "read" }));
    }
}

/** Neither sends nor receives anything from now on. The socket stays silent also when the path is back. */
function silence(socket) {
    socket._handle?.readStop();
    if (socket._handle) {
        socket._handle.readStart = () => 0;
    }
    socket._write = () => {};
    socket._writev = () => {};
    socket._final = callback => callback();
}

const { connect } = net.Socket.prototype;
net.Socket.prototype.connect = function(...args) {
    const options = Array.isArray(args[0]) ? args[0][0] : args[0];
    if (Number(options?.port) !== port) {
        return connect.apply(this, args);
    }
    // Holding a socket that never connects also keeps it from being collected, as the system's handle does.
    open.add(this);
    this.once("close", () => open.delete(this));
    if (state === "none") {
        return connect.apply(this, args);
    }
    this.connecting = true;
    if (state !== "silent") {
        const error = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED", syscall: "connect" });
        setImmediate(() => this.destroy(error));
    }
    return this;
};
