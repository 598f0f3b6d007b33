import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { UpstreamFailureKind } from "../../src/forwarding/index.js";
import { createAnswer, createCallFailure, createForwarder, type UpstreamBehaviour } from "../fixtures/forwarders.js";
import { createRoute, createRouteTable, createStreamRoute } from "../fixtures/routes.js";

/** Time after the sending of a second request by which the first answer has been dropped. */
const afterDropMilliseconds = 250;
const certain: readonly UpstreamFailureKind[] = ["not-sent", "no-room", "refused", "replaced"];
const uncertain: readonly UpstreamFailureKind[] = ["broken", "disconnected"];

/** Creates forwarders of each kind of route whose requests may run once at most, with several attempts. */
function createForwarders(behaviour: UpstreamBehaviour) {
    const plain = createRoute({ kind: "at-most-once", maxAttempts: 3, timeoutMilliseconds: 2_000 });
    const stream = createStreamRoute({ isResumable: false, models: [], timeoutMilliseconds: 2_000 });
    return [plain, stream].map(route =>
        createForwarder({ behaviour, getRoutes: () => createRouteTable({ routes: [route] }) })
    );
}

// Guards against a booking that is refused as not run although it has run, so that its caller repeats it.
describe("the promise that a request has not run", () => {
    it("is given when every attempt has certainly not run", async () => {
        for (const kind of certain) {
            for (const { send } of createForwarders(() => createCallFailure(kind))) {
                expect((await send()).refusal?.outcome).toEqual("not-run");
            }
        }
    });

    it("is not given after an attempt that may have run, and none follows", async () => {
        for (const kind of uncertain) {
            const behaviour: UpstreamBehaviour = (...[, , count]) => createCallFailure(count === 1 ? "refused" : kind);
            for (const { send, calls } of createForwarders(behaviour)) {
                expect([(await send()).refusal?.outcome, calls.length]).toEqual(["unknown", 2]);
            }
        }
    });

    it("is not given after an answer that broke off", async () => {
        for (const { send, calls } of createForwarders(() => createAnswer(["ha"], { breaksConnection: true }))) {
            const caller = await send();
            expect([caller.refusal?.outcome === "not-run", caller.isComplete, calls.length]).toEqual([false, false, 1]);
        }
    });

    // The upstream's own failure, and its end at the deadline, come after its work has begun.
    it("is not given in place of an upstream's own failure, which has run", async () => {
        for (const status of [500, 502, 504]) {
            for (const { send, calls } of createForwarders(() => createAnswer(["failed"], { status }))) {
                const caller = await send();
                expect([caller.status, caller.refusal, calls.length]).toEqual([status, undefined, 1]);
            }
        }
    });

    // A repeatable request fails at one upstream and finds the others full. Its first run is not undone by that.
    it("is not given to a repeatable request that has run, when all other upstreams refuse it", async () => {
        const routes = [createRoute({ maxAttempts: 3 }), createStreamRoute({ models: [] })];
        for (const route of routes) {
            const { send } = createForwarder({
                behaviour: (...[, , count]) => count === 1 ? createCallFailure("broken") : createCallFailure("refused"),
                getRoutes: () => createRouteTable({ routes: [route] }),
            });
            expect((await send()).refusal?.outcome).toEqual("unknown");
        }
    });

    it("is not given after a dropped answer of a smaller model", async () => {
        const { send } = createForwarder({
            behaviour: async ({ model }) => {
                if (model === "small") {
                    return createAnswer(["weak"], { confidence: 5 });
                }
                await sleep(afterDropMilliseconds);
                return createCallFailure("refused");
            },
            getRoutes: () => createRouteTable({ routes: [createStreamRoute()] }),
        });
        const generation = {
            model: undefined,
            promptTokens: 600,
            maxOutputTokens: 100,
            expectedOutputTokens: 40,
            parts: [{ id: "own", tokens: 600 }],
        };
        expect((await send({ generation, deadlineMilliseconds: 20_000 })).refusal?.outcome).toEqual("ran");
    });
});
