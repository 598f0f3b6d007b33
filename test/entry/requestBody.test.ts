import { expect } from "earl";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { describe, it } from "node:test";
import { readBody } from "../../src/entry/requestBody.js";

const maxBytes = 100;
const longTimeoutMilliseconds = 10_000;

function createRequest(): PassThrough & IncomingMessage {
    return Object.assign(new PassThrough(), { headers: {} }) as unknown as PassThrough & IncomingMessage;
}

describe("readBody", () => {
    it("reads a body that arrives in pieces", async () => {
        const request = createRequest();
        const body = readBody(request, maxBytes, longTimeoutMilliseconds);
        request.write("one ");
        request.end("two");
        expect((await body)._unsafeUnwrap().toString()).toEqual("one two");
    });

    // A caller sends a part of its body and then nothing more. Without a timeout, each such caller would hold a
    // connection and memory indefinitely.
    it("refuses a sender that stops in the middle", async () => {
        const request = createRequest();
        request.write("one ");
        const body = await readBody(request, maxBytes, 20);
        expect(body._unsafeUnwrapErr().kind).toEqual("deadline");
    });

    it("refuses a body above the size limit", async () => {
        const request = createRequest();
        const body = readBody(request, maxBytes, longTimeoutMilliseconds);
        request.end("x".repeat(maxBytes + 1));
        expect((await body)._unsafeUnwrapErr().kind).toEqual("invalid-input");
    });
});
