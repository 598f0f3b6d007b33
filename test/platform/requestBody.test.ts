import { expect } from "earl";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { readBody } from "../../src/platform/requestBody.js";

// eslint-disable-next-line no-restricted-syntax -- streams end with it
const endOfStream = null;
const limit = 1_000_000;
const longMilliseconds = 10_000;

function createRequest(pieces: readonly Buffer[], headers: Readonly<Record<string, string>>): IncomingMessage {
    return Object.assign(Readable.from(pieces), { headers }) as unknown as IncomingMessage;
}

async function read(pieces: readonly Buffer[], headers: Readonly<Record<string, string>>, hasMemory = true) {
    const reserved: number[] = [];
    const body = await readBody(createRequest(pieces, headers), {
        limit,
        maxMilliseconds: longMilliseconds,
        reserve: async bytes => {
            reserved.push(bytes);
            return hasMemory;
        },
    });
    return { body: typeof body === "string" ? body : body.length, reserved };
}

describe("readBody", () => {
    const piece = Buffer.alloc(100_000, "a");
    const chunked = { "transfer-encoding": "chunked" };

    it("reserves the size that the request states", async () => {
        const stated = { "content-length": "200000" };
        expect(await read([piece, piece], stated)).toEqual({ body: 200_000, reserved: [200_000] });
        expect(await read([], {})).toEqual({ body: 0, reserved: [0] });
    });

    it("reserves the largest size once a body without a stated size is no longer small", async () => {
        expect(await read([Buffer.from("small")], chunked)).toEqual({ body: 5, reserved: [] });
        expect(await read([piece, piece, piece], chunked)).toEqual({ body: 300_000, reserved: [limit] });
    });

    it("reads nothing further when there is no memory, or the body is too large", async () => {
        expect(await read([piece], { "content-length": "100000" }, false)).toEqual({
            body: "no-memory",
            reserved: [100_000],
        });
        expect(await read([piece], chunked, false)).toEqual({ body: "no-memory", reserved: [limit] });
        expect(await read([piece], { "content-length": "1000001" })).toEqual({ body: "too-large", reserved: [] });
        expect(await read(Array.from({ length: 11 }, () => piece), chunked)).toEqual({
            body: "too-large",
            reserved: [limit],
        });
    });

    it("keeps the bytes in their order", async () => {
        const pieces = Array.from({ length: 300 }, (...[, index]) => Buffer.from(String(index).padStart(5, "0")));
        const body = await readBody(createRequest(pieces, chunked), {
            limit,
            maxMilliseconds: longMilliseconds,
            reserve: async () => true,
        });
        expect(body.toString()).toEqual(Buffer.concat(pieces).toString());
    });

    // Callers that send a part of a large body and no more would hold the memory of the others.
    it("gives up a large body that does not arrive in time, and waits on for a small one", async () => {
        const maxMilliseconds = 50;
        const stuck = new Readable({ read: () => {} });
        const options = { limit, maxMilliseconds, reserve: async () => true };
        const large = Object.assign(stuck, { headers: { "content-length": "100000" } }) as unknown as IncomingMessage;
        expect(await readBody(large, options)).toEqual("gone");
        const slow = new Readable({ read: () => {} });
        const small = Object.assign(slow, { headers: { "content-length": "5" } }) as unknown as IncomingMessage;
        const reading = readBody(small, options);
        setTimeout(() => {
            slow.push("small");
            slow.push(endOfStream);
        }, 4 * maxMilliseconds);
        expect((await reading).toString()).toEqual("small");
    });
});
