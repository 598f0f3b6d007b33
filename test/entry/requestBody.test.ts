import { expect } from "earl";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { BodyMemory, TurnQueue } from "../../src/connections/index.js";
import { readBody } from "../../src/entry/requestBody.js";

const maxBytes = 100;
const longTimeoutMilliseconds = 10_000;

function createRequest(): PassThrough & IncomingMessage {
    return Object.assign(new PassThrough(), { headers: {} }) as unknown as PassThrough & IncomingMessage;
}

function read(request: IncomingMessage, timeoutMilliseconds: number, maxMemoryBytes = 1_000_000) {
    const bytes = (): number => maxMemoryBytes;
    const memory = new BodyMemory({ clock: new ManualClock(), getMaxBytes: bytes, getMaxSmallBytes: bytes });
    const { signal } = new AbortController();
    const limits = { maxBytes, timeoutMilliseconds, turns: new TurnQueue(), disconnected: signal };
    return readBody(request, { ...limits, memory: memory.add() });
}

describe("readBody", () => {
    it("reads a body that arrives in pieces", async () => {
        const request = createRequest();
        const body = read(request, longTimeoutMilliseconds);
        request.write("one ");
        request.end("two");
        expect((await body)._unsafeUnwrap().toString()).toEqual("one two");
    });

    // A caller sends a part of its body and then nothing more. Without a timeout, each such caller would hold a
    // connection and memory indefinitely.
    it("refuses a sender that stops in the middle", async () => {
        const request = createRequest();
        request.write("one ");
        const body = await read(request, 20);
        expect(body._unsafeUnwrapErr().kind).toEqual("deadline");
    });

    it("refuses a body above the size limit", async () => {
        const request = createRequest();
        const body = read(request, longTimeoutMilliseconds);
        request.end("x".repeat(maxBytes + 1));
        expect((await body)._unsafeUnwrapErr().kind).toEqual("invalid-input");
    });

    // Guards against bodies that are bounded one by one and take all memory together.
    it("refuses a body for which there is no memory", async () => {
        const body = await read(createRequest(), longTimeoutMilliseconds, 1_000);
        expect(body._unsafeUnwrapErr().kind).toEqual("overloaded");
    });
});
