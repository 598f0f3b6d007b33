import { expect } from "earl";
import { err, type Result } from "neverthrow";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import type { ReportedLoad, UpstreamAnswer, UpstreamCallFailure } from "../../src/forwarding/index.js";
import { createAnswer, createForwarder } from "../fixtures/forwarders.js";
import { createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

/** A tenth of the timeout of the route. */
const restMilliseconds = 100;
const timeoutMilliseconds = 1_000;

function reject(milliseconds = restMilliseconds): Result<UpstreamAnswer, UpstreamCallFailure> {
    return err({ kind: "refused", reason: "full", restMilliseconds: milliseconds });
}

/** Creates a forwarder before two upstreams of which the first rejects and asks for rest; the second reports its load. */
function createPair(load: ReportedLoad | undefined, isSecondResting = false) {
    const clock = new ManualClock(1_000);
    const forwarder = createForwarder({
        clock,
        upstreams: createUpstreams(2),
        behaviour: (...[, { id }]) => id === "u1" || isSecondResting ? reject() : createAnswer(["done"], { load }),
    });
    const send = () => forwarder.send({ arrivedAt: clock.monotonic() });
    return { ...forwarder, clock, send };
}

describe("upstreams that have asked for rest", () => {
    it("get none of the further requests, and the others serve them", async () => {
        const { calls, send } = createPair({ running: 1, waiting: 0, slots: 8 });
        for (let count = 0; count < 20; count += 1) {
            expect((await send()).status).toEqual(200);
        }
        expect(calls.filter(({ upstream }) => upstream === "u1").length).toBeLessThanOrEqual(1);
    });

    // Guards against requests of resting upstreams that are heaped upon the others, which are full and reject them as well.
    it("leave requests refused at once when the slots of all others are in use", async () => {
        const { calls, send, clock } = createPair({ running: 8, waiting: 1, slots: 8 });
        while (!calls.some(({ upstream }) => upstream === "u1")) {
            await send();
        }
        const before = calls.length;
        const { refusal } = await send();
        expect([refusal?.outcome, refusal?.failure.kind, calls.length]).toEqual(["not-run", "unavailable", before]);
        clock.advance(2 * restMilliseconds + 2_000);
        await send();
        expect(calls.length).toBeGreaterThan(before);
    });

    // Guards against streams that are broken off for good since those that could go on with them have all slots in use.
    it("do not keep the rest of a stream from full upstreams", async () => {
        const load = { running: 8, waiting: 1, slots: 8 };
        let accepted = 0;
        const site = createForwarder({
            upstreams: createUpstreams(3),
            getRoutes: () => createRouteTable({ routes: [createStreamRoute()] }),
            behaviour: (...[, { id }]) => {
                if (id === "u1") {
                    return reject(5_000);
                }
                accepted += 1;
                const event = `id: ${accepted}\ndata: ${accepted}\n\n`;
                return createAnswer([event], { load, confidence: 100, breaksConnection: accepted === 1 });
            },
        });
        site.announcements.observe(createUpstreams(1)[0], { isLeaving: false, restMilliseconds: 5_000 });
        const caller = await site.send({ deadlineMilliseconds: 20_000 });
        expect([accepted, caller.isComplete, caller.chunks.length]).toEqual([2, true, 2]);
    });

    // Guards against callers that come back while the upstreams still rest, all at one moment.
    it("let callers come back after the end of the first rest, at different moments", async () => {
        const { send } = createPair(undefined, true);
        await send();
        const delays = new Set<number>();
        for (let count = 0; count < 20; count += 1) {
            delays.add((await send()).refusal?.failure.retryAfterMilliseconds ?? 0);
        }
        expect(Math.min(...delays)).toBeGreaterThanOrEqual(restMilliseconds);
        expect(Math.max(...delays)).toBeLessThanOrEqual(timeoutMilliseconds / 3);
        expect(delays.size).toBeGreaterThan(10);
    });
});
