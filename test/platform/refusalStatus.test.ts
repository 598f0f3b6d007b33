import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import { Failure, type Outcome } from "../../src/common/index.js";
import type { CallerReply } from "../../src/forwarding/index.js";
import { startCallerServer } from "../fixtures/callerServers.js";

const host = "127.0.0.1";
/** Statuses that promise that a request has not run. */
const promises = [408, 421, 429, 503];
const head =
    "POST /a/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nok";

const opened: { readonly close: () => void; }[] = [];

async function startServer(handle: (reply: CallerReply) => void): Promise<number> {
    const { server, port } = await startCallerServer({
        handle: (...[, reply]) => {
            handle(reply);
            return Promise.resolve();
        },
        getLimits: () => ({ headerBytes: 4_000, bodyBytes: 4_000, headerMilliseconds: 200, idleMilliseconds: 5_000 }),
    });
    opened.push(server);
    return port;
}

/** Sends bytes and returns everything that is received until the connection ends. */
async function exchange(port: number, bytes: string): Promise<string> {
    const socket = connect(port, host);
    opened.push({ close: () => socket.destroy() });
    await once(socket, "connect");
    let received = "";
    socket.on("data", data => received += data.toString("latin1"));
    socket.on("error", () => {
        // The node may reset the connection.
    });
    socket.write(bytes);
    await new Promise(resolve => socket.once("close", resolve));
    return received;
}

function readStatus(received: string): number | undefined {
    const status = /^HTTP\/1\.1 (\d+)/.exec(received)?.[1];
    return status === undefined ? undefined : Number(status);
}

describe("the status of a refusal", () => {
    afterEach(() => {
        for (const one of opened.splice(0)) {
            one.close();
        }
    });

    // Guards against a status that invites the caller to repeat a request that has run.
    it("promises that a request has not run only if that is its outcome", async () => {
        const kinds = ["overloaded", "unavailable", "stale", "upstream-failed", "deadline"] as const;
        for (const kind of kinds) {
            for (const outcome of ["ran", "unknown", "not-run"] satisfies Outcome[]) {
                const port = await startServer(reply => {
                    reply.refuse({ outcome, failure: new Failure({ kind, message: "m", remedy: "r" }) });
                });
                const status = readStatus(
                    await exchange(port, head.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")),
                );
                const mayPromise = outcome === "not-run" && kind !== "deadline";
                expect([kind, outcome, promises.includes(status!)]).toEqual([kind, outcome, mayPromise]);
            }
        }
    });

    // A caller sends the beginning of another request, or bytes that are none, while its request runs. Guards against an answer of the
    // HTTP library to those, 408 among them, that passes for the answer to the request that runs.
    it("does not answer a request that runs because of what follows it on the connection", async () => {
        for (const following of ["POST /a/2 HTTP/1.1\r\nHost: app", "\u0000\u0001 bytes\r\n\r\n"]) {
            const port = await startServer(reply => {
                setTimeout(() => reply.answer(200, ["Connection", "close"], Buffer.from("done")), 1_500);
            });
            const status = readStatus(await exchange(port, head + following));
            expect([following, status]).toEqual([following, 200]);
        }
    });

    it("answers bytes that are no request, with no request before them", async () => {
        const port = await startServer(() => {});
        expect(readStatus(await exchange(port, "bytes\r\n\r\n"))).toEqual(400);
    });
});
