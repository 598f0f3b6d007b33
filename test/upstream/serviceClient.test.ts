import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createWatchedAgent } from "../../src/connections/index.js";
import { sendReply } from "../../src/entry/incomingCall.js";
import { packAnswer, unpackAnswer } from "../../src/entry/storedAnswer.js";
import { type ServiceAnswer, ServiceClient } from "../../src/upstream/index.js";
import type { Vm } from "../../src/world/index.js";
import { createRawRunner } from "../platform/standins/runnerStandin.js";

const host = "127.72.124.1";
/** More than the kernels of both machines hold. */
const uploadBytes = 8_000_000;
const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) {
        await cleanup();
    }
});

/** Calls a service that writes the given bytes for each request, and may stop to listen. */
async function callService(write: (socket: Socket, server: Server) => void, body = Buffer.from("label")) {
    const server = createRawRunner(socket => write(socket, server));
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
        body,
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
    // Guards against a part of a confirmation that passes for whole since its service ended the connection without reading the upload.
    it("fails an answer without a length whose connection ended before the request was written", async () => {
        const called = await callService(socket => {
            socket.pause();
            socket.end(`${head}\r\nha`);
            setTimeout(() => socket.destroy(), 300);
        }, Buffer.alloc(uploadBytes));
        expect(called.isErr() && called.error.outcome).toEqual("unknown");
    });

    // Guards against an answer with a status that is none, which a caller takes for one of its own.
    it("fails an answer with a status outside of those of the protocol", async () => {
        for (const status of [600, 999]) {
            const called = await callService(socket => {
                socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 4\r\n\r\ndone`);
            });
            expect(called.isErr() && called.error.outcome).toEqual("ran");
        }
    });

    // Guards against half a confirmation that passes for a whole one at the caller and under its idempotency key.
    it("fails an answer without a length whose connection was reset", async () => {
        const called = await callService(socket => {
            socket.write(`${head}\r\nha`);
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        expect(called.isErr() && called.error.outcome).toEqual("unknown");
    });

    // Guards against half a confirmation that passes for a whole one, since the connections of a killed service end in order.
    it("fails an answer without a framing whose service does not answer after its end", async () => {
        for (const body of ["do", ""]) {
            const called = await callService((socket, server) => {
                server.close();
                socket.end(`${head}\r\n${body}`);
            });
            expect(called.isErr() && called.error.outcome).toEqual("ran");
        }
    });

    // Guards against a sound confirmation that is withheld, or a stored one that loses its end on its way to the caller.
    it("passes on an answer without a framing whose service has outlived its end, with a framing, also the stored one", async () => {
        const known = (await callService(socket => socket.end(`${head}Content-Length: 4\r\n\r\ndone`)))._unsafeUnwrap();
        const unstated = (await callService(socket => socket.end(`${head}\r\ndone`)))._unsafeUnwrap();
        for (const answer of [known, unstated]) {
            const headers = await sendToCaller(unpackAnswer(packAnswer(answer))._unsafeUnwrap());
            expect(headers.has("content-length") || headers.has("transfer-encoding")).toEqual(true);
        }
        const none = await callService((socket, server) => {
            server.close();
            socket.end("HTTP/1.1 204 None\r\n\r\n");
        });
        expect(none.isOk()).toEqual(true);
    });

    // Guards against an answer of an earlier version of the program that was stored without a known end.
    it("does not replay a stored answer that may be incomplete", () => {
        const body = Buffer.from("do").toString("base64");
        const stored = JSON.stringify({ status: 200, headers: {}, body, hasKnownEnd: false });
        expect(unpackAnswer(stored).isErr()).toEqual(true);
    });
});
