import { expect } from "earl";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerLimits } from "../../src/routing/index.js";
import { startCallerServer } from "../fixtures/callerServers.js";
import { blockProcess } from "../fixtures/pauses.js";

const host = "127.0.0.1";
const callers = 20;
/** More than the kernel holds for a connection, so that bytes wait unread. */
const manyBytes = 8 * 1024 * 1024;
const answerMilliseconds = 50;
const limits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 100,
    headerMilliseconds: 3_000,
    idleMilliseconds: 15_000,
};
const opened: { readonly close: () => void; }[] = [];

/** Sends bytes and returns all that comes back until the end of the connection. */
async function send(port: number, content: string): Promise<string> {
    const socket: Socket = connect(port, host);
    opened.push({ close: () => socket.destroy() });
    let received = "";
    socket.on("data", data => received += String(data));
    socket.on("error", () => {
        // What was received before counts.
    });
    await once(socket, "connect");
    socket.write(content);
    await new Promise(resolve => socket.once("close", resolve));
    return received;
}

function createHead(length: number): string {
    return `POST /a/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: 1\r\nContent-Length: ${length}\r\n\r\n`;
}

describe("a connection that ends with bytes unread", () => {
    afterEach(() => {
        for (const one of opened.splice(0)) {
            one.close();
        }
    });

    // Guards against a refusal that is lost by the reset of its connection.
    it("brings the refusal of a body that is too large", async () => {
        const { server, port } = await startCallerServer({ getLimits: () => limits, handle: () => Promise.resolve() });
        opened.push(server);
        const content = createHead(manyBytes) + "x".repeat(manyBytes);
        const received = await Promise.all(Array.from({ length: callers }, () => send(port, content)));
        const statuses = received.map(text => text.split("\r\n")[0]);
        expect(statuses).toEqual(statuses.map(() => "HTTP/1.1 413 Payload Too Large"));
    });

    // Guards against an answer that is lost since its caller sent something malformed after its request.
    it("brings the answer to the request before a malformed one", async () => {
        const { server, port } = await startCallerServer({
            handle: async (...[, reply]) => {
                await sleep(answerMilliseconds);
                reply.answer(200, [], Buffer.from("done"));
                blockProcess(1);
            },
        });
        opened.push(server);
        const content = `${createHead(2)}ok${"\u0001".repeat(manyBytes)}`;
        const received = await Promise.all(Array.from({ length: callers }, () => send(port, content)));
        const ends = received.map(text => [text.split("\r\n")[0], text.endsWith("done")]);
        expect(ends).toEqual(ends.map(() => ["HTTP/1.1 200 OK", true]));
    });
});
