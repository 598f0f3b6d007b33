import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createWatchedAgent } from "../../src/connections/index.js";
import { sendReply } from "../../src/entry/incomingCall.js";
import { packAnswer, unpackAnswer } from "../../src/entry/storedAnswer.js";
import { type ServiceAnswer, ServiceClient } from "../../src/upstream/index.js";
import type { Vm } from "../../src/world/index.js";
import { createRawRunner } from "../platform/standins/runnerStandin.js";

const host = "127.72.124.1";
const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) {
        await cleanup();
    }
});

/** Calls a service that writes the given bytes. */
async function callService(write: (socket: Socket) => void) {
    const server = createRawRunner(write);
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const dispatcher = createWatchedAgent(1_000);
    cleanups.push(() => dispatcher.destroy(), () => server.close());
    const { port } = server.address() as AddressInfo;
    const service = { id: "s-1", address: host, port, role: "service", pool: "label-app" } as unknown as Vm;
    return new ServiceClient({ dispatcher, maxAnswerBytes: 1_000 }).call(service, {
        requestId: "request-1",
        method: "POST",
        path: "/print",
        headers: {},
        body: Buffer.from("label"),
        idempotencyKey: undefined,
        timeoutMilliseconds: 1_000,
        signal: AbortSignal.timeout(2_000),
    });
}

/** Returns the bytes of the head with which an answer is sent to a caller. */
async function sendToCaller(answer: ServiceAnswer): Promise<Headers> {
    const server = createServer((_, response) => sendReply(response, "request-1", { answer, isReplayed: true }));
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    cleanups.push(() => server.close());
    const response = await fetch(`http://${host}:${(server.address() as AddressInfo).port}/`);
    expect(await response.text()).toEqual("done");
    return response.headers;
}

describe("ServiceClient", () => {
    // Guards against half a confirmation that passes for a whole one at the caller and under its idempotency key.
    it("fails an answer without a length whose connection was reset", async () => {
        const called = await callService(socket => {
            socket.write(`${head}\r\nha`);
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        expect(called.isErr() && called.error.outcome).toEqual("unknown");
    });

    // Guards against a length that the entry adds, and with it a claim that the service never made.
    it("keeps what a service has said of the end of its answer, also in the stored one", async () => {
        const known = (await callService(socket => socket.end(`${head}Content-Length: 4\r\n\r\ndone`)))._unsafeUnwrap();
        const unstated = (await callService(socket => socket.end(`${head}\r\ndone`)))._unsafeUnwrap();
        expect([known.hasKnownEnd, unstated.hasKnownEnd]).toEqual([true, false]);
        const empty = (await callService(socket => socket.end(`${head}\r\n`)))._unsafeUnwrap();
        const none = (await callService(socket => socket.end("HTTP/1.1 204 None\r\n\r\n")))._unsafeUnwrap();
        expect([empty.hasKnownEnd, none.hasKnownEnd]).toEqual([false, true]);
        for (const answer of [known, unstated]) {
            const stored = unpackAnswer(packAnswer(answer))._unsafeUnwrap();
            expect(stored.hasKnownEnd).toEqual(answer.hasKnownEnd);
            const headers = await sendToCaller(stored);
            const hasFraming = headers.has("content-length") || headers.has("transfer-encoding");
            expect(hasFraming).toEqual(answer.hasKnownEnd);
        }
    });
});
