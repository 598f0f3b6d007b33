import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ManualClock } from "../../src/common/index.js";
import { createPartKeys } from "../../src/quarantine/index.js";
import { waitUntil } from "../../src/testbench/index.js";
import { createAnswer, createCallFailure, createForwarder } from "../fixtures/forwarders.js";
import { addCrashes } from "../fixtures/quarantines.js";
import { createRoute, createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

/** Time after the sending of a second request by which the first answer has been dropped. */
const afterDropMilliseconds = 250;
const allCrashed: ReadonlySet<string> = new Set(["u1", "u2", "u3", "u4", "u5", "u6"]);
const streamRoutes = () =>
    createRouteTable({ routes: [createRoute({ kind: "stream", isResumable: true, maxAttempts: 3 })] });

/** Yields a piece of an answer, and breaks the connection after some milliseconds. */
async function* breakAfter(milliseconds: number, clock: ManualClock): AsyncGenerator<Buffer> {
    yield Buffer.from("id: 1\n");
    clock.advance(milliseconds);
    throw new Error("other side closed");
}

describe("the watch for crashed upstreams", () => {
    it("quarantines a request under which three upstreams crashed, and refuses it at once", async () => {
        const { send, calls, metrics } = createForwarder({
            upstreams: createUpstreams(6),
            crashed: allCrashed,
            getRoutes: streamRoutes,
            behaviour: () => createAnswer(["id: 1\n"], { breaksConnection: true }),
        });
        await send({ id: "1" });
        const { refusal } = await send({ id: "2" });
        expect(calls.length).toEqual(3);
        expect(await metrics.registry.metrics()).toInclude("refused_requests_total{kind=\"quarantined\"} 1");
        expect([refusal?.outcome, refusal?.failure.kind]).toEqual(["not-run", "quarantined"]);
        expect(refusal!.failure.retryAfterMilliseconds! > 59_000).toEqual(true);
    });

    // Guards against the refusal of requests whose answers a living upstream cuts off or loses.
    it("does not count a connection that broke while its upstream still accepts others", async () => {
        const { send, quarantine } = createForwarder({
            upstreams: createUpstreams(6),
            getRoutes: streamRoutes,
            behaviour: () => createAnswer(["id: 1\n"], { breaksConnection: true }),
        });
        await send({ id: "1" });
        await send({ id: "2" });
        expect(quarantine.getPoints(() => "")).toEqual(0);
        expect(quarantine.countQuarantined()).toEqual(0);
    });

    // Guards against the refusal of good requests after runners have crashed under the load of their first seconds.
    it("does not count a crash of an upstream that warms up", async () => {
        const { send, quarantine, calls } = createForwarder({
            upstreams: createUpstreams(6, { warmUpMilliseconds: 60_000 }),
            crashed: allCrashed,
            getRoutes: streamRoutes,
            behaviour: () => createAnswer(["id: 1\n"], { breaksConnection: true }),
        });
        await send({ id: "1" });
        expect([calls.length, quarantine.countQuarantined()]).toEqual([3, 0]);
    });

    // Guards against the refusal of long answers that are cut off when other requests crash their runners.
    it("does not count a crash under a request that has run for long", async () => {
        const clock = new ManualClock(1_000);
        const { send, quarantine, calls } = createForwarder({
            clock,
            upstreams: createUpstreams(6),
            crashed: allCrashed,
            getRoutes: streamRoutes,
            behaviour: () => createAnswer([], { body: breakAfter(500, clock) }),
        });
        await send({ id: "1", arrivedAt: 1_000 });
        expect([calls.length, quarantine.countQuarantined()]).toEqual([3, 0]);
    });

    it("counts half for a stream that was waiting for its first event", async () => {
        const { send, calls } = createForwarder({
            upstreams: createUpstreams(6),
            crashed: allCrashed,
            getRoutes: streamRoutes,
            behaviour: () => createCallFailure("disconnected"),
        });
        await send({ id: "1" });
        await send({ id: "2" });
        const { refusal } = await send({ id: "3" });
        expect([calls.length, refusal?.failure.kind]).toEqual([6, "quarantined"]);
    });

    // Guards against a booking that crashes the service: it is sent once per attempt of its caller, whose answer never starts.
    it("counts a plain service's crash before the answer in full", async () => {
        const { send, calls } = createForwarder({
            upstreams: createUpstreams(6),
            crashed: allCrashed,
            getRoutes: () => createRouteTable({ routes: [createRoute({ kind: "at-most-once", maxAttempts: 1 })] }),
            behaviour: () => createCallFailure("disconnected"),
        });
        for (const id of ["1", "2", "3", "4", "5"]) {
            await send({ id });
        }
        expect(calls.length).toEqual(3);
    });

    // Guards against a cascade that drops each first answer of a request, and learns of no crash under it.
    it("counts a crash of an upstream whose answer was dropped just before, if a part of the prompt is suspect", async () => {
        const { send, partQuarantine } = createForwarder({
            upstreams: createUpstreams(6),
            crashed: allCrashed,
            getRoutes: () => createRouteTable({ routes: [createStreamRoute()] }),
            behaviour: async ({ model }) => {
                if (model === "small") {
                    return createAnswer(["id: 1\n\n"], { confidence: 0 });
                }
                await sleep(afterDropMilliseconds);
                return createCallFailure("refused");
            },
        });
        const parts = [{ id: "a", tokens: 10 }, { id: "own", tokens: 10 }];
        const generation = { model: undefined, promptTokens: 20, maxOutputTokens: 10, expectedOutputTokens: 10, parts };
        const [part] = createPartKeys({ pool: "app", parts: ["a", "own"] });
        addCrashes(partQuarantine, part, 1);
        await send({ generation });
        await waitUntil(() => Promise.resolve(partQuarantine.isQuarantined(() => [part])), {
            description: "the quarantine of the part",
        });
    });

    it("takes a complete answer as proof that a request crashes nothing", async () => {
        let isCrashing = true;
        const { send, quarantine } = createForwarder({
            upstreams: createUpstreams(6),
            crashed: allCrashed,
            getRoutes: () => createRouteTable({ routes: [createRoute({ kind: "idempotent", maxAttempts: 2 })] }),
            behaviour: () => isCrashing ? createCallFailure("disconnected") : createAnswer(["done"]),
        });
        for (let round = 0; round < 4; round += 1) {
            isCrashing = true;
            await send();
            isCrashing = false;
            expect((await send()).status).toEqual(200);
        }
        expect(quarantine.countQuarantined()).toEqual(0);
    });
});
