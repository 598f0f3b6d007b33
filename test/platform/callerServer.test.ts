import { expect } from "earl";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerServerOptions } from "../../src/platform/callerServer.js";
import type { BrokenReply } from "../../src/platform/httpReply.js";
import type { CallerLimits } from "../../src/routing/index.js";
import { waitUntil } from "../../src/testbench/index.js";
import { startCallerServer } from "../fixtures/callerServers.js";
import { blockProcess } from "../fixtures/pauses.js";

const host = "127.0.0.1";
const callers = 20;
/** Longer than what was read counts as recent. */
const busyMilliseconds = 400;
/** Limits with which a connection is closed soon after its answer. */
const shortLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 100,
    headerMilliseconds: 3_000,
    idleMilliseconds: 1,
};
/** Longer than such a connection stays open. */
const idleMilliseconds = 2_500;
const request = "POST /a/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nok";

const opened: { readonly close: () => void; }[] = [];

async function startServer(options: Partial<CallerServerOptions> = {}) {
    const handled: string[] = [];
    const departed: string[] = [];
    const { server, port } = await startCallerServer({
        handle: ({ id }, reply) => {
            handled.push(id);
            reply.answer(200, [], Buffer.from("done"));
            return Promise.resolve();
        },
        onDeparted: id => departed.push(id),
        ...options,
    });
    opened.push(server);
    return { server, port, handled, departed };
}

/** Sends a request and returns its connection once it is answered. */
async function connectAndSend(port: number): Promise<Socket> {
    const socket = connect(port, host);
    opened.push({ close: () => socket.destroy() });
    socket.write(request);
    await once(socket, "data");
    return socket;
}

/** Connects callers. Each one sends its request and leaves as soon as it is connected, or after all are. */
async function sendAndLeave(port: number, when: "connected" | "accepted"): Promise<void> {
    const sockets: Socket[] = Array.from({ length: callers }, () => connect(port, host));
    const connected = sockets.map(socket => once(socket, "connect"));
    for (const socket of sockets) {
        socket.resume();
        opened.push({ close: () => socket.destroy() });
        if (when === "connected") {
            socket.on("connect", () => socket.end(request));
        }
    }
    await Promise.all(connected);
    if (when === "accepted") {
        await new Promise(resolve => setTimeout(resolve, 100));
        for (const socket of sockets) {
            socket.end(request);
        }
    }
}

/** Returns the first line that a connection brings, or undefined when it ends before. */
function readStatus(socket: Socket): Promise<string | undefined> {
    return new Promise(resolve => {
        socket.once("data", data => resolve(String(data).split("\r\n")[0]));
        socket.once("error", () => resolve(undefined));
        socket.once("close", () => resolve(undefined));
    });
}

describe("CallerServer", () => {
    afterEach(() => {
        for (const one of opened.splice(0)) {
            one.close();
        }
    });

    // The process is busy, and reads the requests and the ends of their connections together.
    it("handles no request of callers that left before it was read", async () => {
        const { port, handled, departed } = await startServer();
        await sendAndLeave(port, "accepted");
        blockProcess(busyMilliseconds);
        await waitUntil(() => handled.length + departed.length === callers, { description: "all requests" });
        expect([handled.length, departed.length]).toEqual([0, callers]);
    });

    // Connections are accepted one by one after others. Guards against the last ones, which count as read too early.
    it("handles no request of callers that left before their connections were accepted", async () => {
        const { port, handled, departed } = await startServer();
        await sendAndLeave(port, "connected");
        blockProcess(busyMilliseconds);
        await waitUntil(() => handled.length + departed.length === callers, { description: "all requests" });
        expect([handled.length, departed.length]).toEqual([0, callers]);
    });

    it("answers callers that stayed while the process was busy", async () => {
        const { port, handled } = await startServer();
        const socket = connect(port, host);
        opened.push({ close: () => socket.destroy() });
        await once(socket, "connect");
        socket.write(request);
        blockProcess(busyMilliseconds);
        const [answer] = await once(socket, "data") as [Buffer];
        expect([String(answer).startsWith("HTTP/1.1 200"), handled]).toEqual([true, ["1"]]);
    });

    // Guards against a request that is lost as a stopping node closes its idle connections.
    it("answers what has arrived on an idle connection before it begins to leave", async () => {
        const { server, port } = await startServer();
        const socket = await connectAndSend(port);
        socket.write(request);
        server.announceLeaving();
        const [answer] = await once(socket, "data") as [Buffer];
        expect(String(answer).split("\r\n").slice(0, 2)).toEqual(["HTTP/1.1 200 OK", "Connection: close"]);
        await once(socket, "close");
    });

    it("closes idle connections as it begins to leave", async () => {
        const { server, port } = await startServer();
        const socket = await connectAndSend(port);
        server.announceLeaving();
        await once(socket, "close");
    });

    // Guards against a node that stops while it reads a request, or never does since a caller left.
    it("counts a request from its headers until it is answered or its caller has left", async () => {
        const { server, port } = await startCallerServer({ handle: () => new Promise(() => {}) });
        opened.push(server);
        const socket = connect(port, host);
        opened.push({ close: () => socket.destroy() });
        socket.write(request.slice(0, -1));
        await waitUntil(() => server.countOpen() === 1, { description: "a request that is being read" });
        socket.write(request.slice(-1) + request);
        await waitUntil(() => server.countOpen() === 2, { description: "a request that waits behind it" });
        socket.destroy();
        await waitUntil(() => server.countOpen() === 0, { description: "no request" });
    });

    // Guards against a request that is lost as the process was paused, with the timer of its idle connection due.
    it("answers what arrived before a connection was idle for too long", async () => {
        const { port } = await startServer({ getLimits: () => shortLimits });
        const socket = await connectAndSend(port);
        socket.write(request);
        blockProcess(idleMilliseconds);
        expect(await readStatus(socket)).toEqual("HTTP/1.1 200 OK");
    });

    it("closes a connection that was idle for too long", async () => {
        const { port } = await startServer({ getLimits: () => shortLimits });
        await once(await connectAndSend(port), "close");
    });

    // A caller may use a connection as long as the configuration in force says. Guards against one that meets its end.
    it("keeps connections that are idle already for as long as a raised limit allows", async () => {
        let limits = shortLimits;
        const { server, port } = await startServer({ getLimits: () => limits });
        const socket = await connectAndSend(port);
        limits = { ...shortLimits, idleMilliseconds: 60_000 };
        server.applyLimits();
        const status = readStatus(socket);
        await sleep(idleMilliseconds);
        socket.write(request);
        expect(await status).toEqual("HTTP/1.1 200 OK");
    });

    it("reports what it cuts as it closes", async () => {
        const broken: BrokenReply[] = [];
        const { server, port } = await startCallerServer({
            handle: (...[, reply]) => {
                reply.start(200, []);
                return reply.write(Buffer.from("a"));
            },
            onBroken: reply => broken.push(reply),
        });
        const socket = connect(port, host);
        socket.write(request);
        await once(socket, "data");
        server.close();
        await once(socket, "close");
        expect(broken.map(({ request, reason }) => ({ request, reason }))).toEqual([{
            request: "1",
            reason: "the node stops",
        }]);
        expect(broken[0].writtenBytes > 0).toEqual(true);
    });
});
