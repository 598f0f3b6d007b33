import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { createAnswer, createCallFailure, createForwarder, type UpstreamBehaviour } from "../fixtures/forwarders.js";
import { createRoute, createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

function createEvent(id: number): string {
    return `id: ${id}\ndata: ${id}\n\n`;
}

async function* pause(signal: AbortSignal): AsyncGenerator<Buffer> {
    yield Buffer.from(createEvent(1));
    await sleep(1_600, undefined, { signal });
    yield Buffer.from(createEvent(2));
}

/** The first runner falls silent and goes on; the other one rejects the request after a time. */
function createBehaviour(rejectionMilliseconds: number): UpstreamBehaviour {
    return async ({ signal }, _, count) => {
        if (count === 1) {
            return createAnswer([], { confidence: 80, body: pause(signal) });
        }
        await sleep(rejectionMilliseconds);
        return createCallFailure("refused");
    };
}

describe("a stream whose silent runner is to be replaced by one that queues the request and then rejects it", () => {
    for (const milliseconds of [50, 200]) {
        // Guards against an answer that is broken off halfway since the runner that was to go on with it rejects it late.
        it(`goes on with its own runner after a rejection that takes ${milliseconds} ms`, async () => {
            const route = createStreamRoute({ maxAttempts: 2 });
            const { send } = createForwarder({
                behaviour: createBehaviour(milliseconds),
                getRoutes: () => createRouteTable({ routes: [route] }),
                upstreams: createUpstreams(3),
            });
            const caller = await send({ session: "session", deadlineMilliseconds: 20_000 });
            expect([caller.chunks, caller.isComplete, caller.isAborted]).toEqual([
                [createEvent(1), createEvent(2)],
                true,
                false,
            ]);
        });
    }
});

describe("a stream whose silent runner is to be replaced by one that has not begun", () => {
    // Guards against an answer that is given up, and whose caller waits in vain, although its runner has gone on meanwhile.
    it("goes on with its own runner, and ends the work at the other one", async () => {
        let isOtherEnded = false;
        const behaviour: UpstreamBehaviour = async ({ signal }, _, count) => {
            if (count === 1) {
                return createAnswer([], { confidence: 80, body: pause(signal) });
            }
            await sleep(10_000, undefined, { signal }).catch(() => isOtherEnded = true);
            return createCallFailure("broken");
        };
        const { send, calls } = createForwarder({
            behaviour,
            getRoutes: () => createRouteTable({ routes: [createStreamRoute({ maxAttempts: 2 })] }),
            upstreams: createUpstreams(3),
        });
        const caller = await send({ session: "session", deadlineMilliseconds: 5_000 });
        expect([caller.chunks, caller.isComplete]).toEqual([[createEvent(1), createEvent(2)], true]);
        expect([calls.length, isOtherEnded]).toEqual([2, true]);
    });

    // Guards against two runners that work on the same stream.
    it("ends the work at its own runner as soon as the other one begins", async () => {
        let isOwnEnded = false;
        const behaviour: UpstreamBehaviour = async ({ signal }, _, count) => {
            if (count > 1) {
                return createAnswer([createEvent(2)], { confidence: 80 });
            }
            signal.addEventListener("abort", () => isOwnEnded = true);
            return createAnswer([], { confidence: 80, body: pause(signal) });
        };
        const { send, calls, lines } = createForwarder({
            behaviour,
            getRoutes: () => createRouteTable({ routes: [createStreamRoute({ maxAttempts: 2 })] }),
            upstreams: createUpstreams(3),
        });
        const caller = await send({ session: "session", deadlineMilliseconds: 5_000 });
        expect([caller.chunks, caller.isComplete]).toEqual([[createEvent(1), createEvent(2)], true]);
        expect([calls.length, calls[1].call.lastEventId, isOwnEnded]).toEqual([2, "1", true]);
        // Each line names its own attempt, although the second one began before the first one ended.
        const ended = lines.filter(({ name }) => name === "attempt-ended");
        expect(ended.map(({ attempt }) => attempt)).toEqual([1, 2]);
    });
});

describe("a stream whose silent runner could be replaced only by one whose slots are all in use", () => {
    // Guards against an answer that is broken off halfway since the request waits in the queue of another runner.
    it("goes on with its own runner", async () => {
        const held = new AbortController();
        const behaviour: UpstreamBehaviour = async ({ request, signal }) => {
            if (request.target.startsWith("/filling/")) {
                await sleep(10_000, undefined, { signal: AbortSignal.any([signal, held.signal]) }).catch(() => {});
                return createAnswer(["done"]);
            }
            return createAnswer([], { confidence: 80, body: pause(signal) });
        };
        let candidate = "u2";
        const { send, calls } = createForwarder({
            behaviour,
            getRoutes: () =>
                createRouteTable({
                    routes: [
                        createStreamRoute({ maxAttempts: 2 }),
                        createRoute({
                            pathPrefix: "/filling/",
                            kind: "at-most-once",
                            maxAttempts: 1,
                            timeoutMilliseconds: 10_000,
                        }),
                    ],
                }),
            upstreams: createUpstreams(2, { slots: 1 }),
            selectVersion: upstreams => upstreams.filter(({ id }) => candidate === "" || id === candidate),
        });
        const filling = [1, 2, 3].map(() => send({ target: "/filling/1", deadlineMilliseconds: 10_000 }));
        await waitUntil(() => calls.length === filling.length, { description: "the other runner to be full" });
        candidate = "u1";
        const streaming = send({ session: "session", deadlineMilliseconds: 20_000 });
        await waitUntil(() => calls.length > filling.length, { description: "the stream to begin" });
        candidate = "";
        const caller = await streaming;
        held.abort();
        await Promise.all(filling);
        expect([caller.chunks, caller.isComplete]).toEqual([[createEvent(1), createEvent(2)], true]);
        expect(calls.map(({ upstream }) => upstream)).toEqual(["u2", "u2", "u2", "u1"]);
    });
});
