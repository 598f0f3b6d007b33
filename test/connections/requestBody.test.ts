import { expect } from "earl";
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { type BodyOptions, readBody, TurnQueue } from "../../src/connections/index.js";

// eslint-disable-next-line no-restricted-syntax -- streams end with it
const endOfStream = null;
const limit = 1_000_000;
const longMilliseconds = 10_000;

function createRequest(pieces: readonly Buffer[], headers: Readonly<Record<string, string>>): IncomingMessage {
    return Object.assign(Readable.from(pieces), { headers }) as unknown as IncomingMessage;
}

/** Creates options with enough memory. */
function createOptions(change: Partial<BodyOptions> = {}): BodyOptions {
    return {
        limit,
        maxMilliseconds: longMilliseconds,
        memory: { reserve: async () => true, addProgress: () => true },
        wait: { maxMilliseconds: longMilliseconds, disconnected: new AbortController().signal },
        turns: new TurnQueue(),
        ...change,
    };
}

async function read(pieces: readonly Buffer[], headers: Readonly<Record<string, string>>, hasMemory = true) {
    const reserved: number[] = [];
    const reserve = async (bytes: number): Promise<boolean> => {
        reserved.push(bytes);
        return hasMemory;
    };
    const memory = { reserve, addProgress: () => true };
    const body = await readBody(createRequest(pieces, headers), createOptions({ memory }));
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
        const body = await readBody(createRequest(pieces, chunked), createOptions());
        expect(body.toString()).toEqual(Buffer.concat(pieces).toString());
    });

    // Guards against callers whose bodies in tiny pieces take the time of all others.
    it("lets a body in tiny pieces wait for its turn, and reads nothing of its connection meanwhile", async () => {
        let waits = 0;
        const calls: string[] = [];
        const connection = Object.assign(new EventEmitter(), {
            pause: () => calls.push("pause"),
            resume: () => calls.push("resume"),
        });
        const pieces = Array.from({ length: 1_000 }, () => Buffer.from("a"));
        const request = Object.assign(createRequest(pieces, chunked), { socket: connection as unknown as Socket });
        const turns = new TurnQueue();
        const wait = turns.wait.bind(turns);
        turns.wait = () => {
            waits += 1;
            return wait();
        };
        const body = await readBody(request, createOptions({ turns }));
        expect([body.length, waits, calls.filter(call => call === "pause").length >= waits]).toEqual([1_000, 1, true]);
    });

    it("ends when there is no memory for a small body whose size is not stated", async () => {
        const memory = { reserve: async () => true, addProgress: (bytes: number) => bytes < 1_000 };
        const pieces = Array.from({ length: 20 }, () => Buffer.alloc(100, "a"));
        expect(await readBody(createRequest(pieces, chunked), createOptions({ memory }))).toEqual("no-memory");
    });

    // Callers that send a part of a large body and no more would hold the memory of the others.
    it("gives up a large body that does not arrive in time, and waits on for a small one", async () => {
        const maxMilliseconds = 50;
        const stuck = new Readable({ read: () => {} });
        const options = createOptions({ maxMilliseconds });
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
