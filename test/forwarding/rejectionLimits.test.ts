import { expect } from "earl";
import { err } from "neverthrow";
import { describe, it } from "node:test";
import { createAnswer, createForwarder } from "../fixtures/forwarders.js";
import { createUpstream } from "../fixtures/upstreams.js";

const upstreams = [createUpstream("a"), createUpstream("b")];
const rejectionsPerSecond = 0;
const fullLoad = { running: 20, waiting: 0, slots: 20 };

describe("upstreams that state how many rejections they bear", () => {
    // Guards against a full upstream that falls over since one request after the other is sent to it, to be rejected.
    it("get nothing more when they are full, and the request is refused at once", async () => {
        const { send, calls } = createForwarder({
            upstreams,
            behaviour: () =>
                err({
                    kind: "refused",
                    reason: "full",
                    load: fullLoad,
                    rejectionsPerSecond,
                    requestsPerSecond: undefined,
                }),
        });
        await send({ id: "request-0" });
        const before = calls.length;
        const startedAt = performance.now();
        const caller = await send({ id: "request-1" });
        expect(calls.length).toEqual(before);
        expect([caller.refusal?.outcome, caller.refusal?.failure.kind]).toEqual(["not-run", "unavailable"]);
        expect(performance.now() - startedAt).toBeLessThan(200);
    });

    // Guards against harmless requests in quarantine, held responsible for upstreams that fell over by their load.
    it("are no evidence against the requests that they ran", async () => {
        const { send, quarantine, lines } = createForwarder({
            upstreams,
            crashed: new Set(["a", "b"]),
            behaviour: (...[, , count]) =>
                count === 1
                    ? createAnswer(["done"], { rejectionsPerSecond, load: { running: 1, waiting: 0, slots: 20 } })
                    : createAnswer(["do"], { breaksConnection: true }),
        });
        await send({ id: "request-0" });
        await send({ id: "request-1" });
        const crashes = lines.filter(({ name }) => name === "upstream-crashed").map(({ upstream }) => upstream);
        expect(crashes.length).toBeLessThanOrEqual(1);
        expect(quarantine.countQuarantined()).toEqual(0);
    });
});
