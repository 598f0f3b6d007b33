import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout } from "node:timers/promises";
import { ManualClock } from "../../src/common/index.js";
import type { ReportedLoad } from "../../src/forwarding/index.js";
import { createWatchedRequest } from "../../src/quarantine/index.js";
import { waitUntil } from "../../src/testbench/index.js";
import {
    CallerStandin,
    createAnswer,
    createCallerRequest,
    createCallFailure,
    createForwarder,
} from "../fixtures/forwarders.js";
import { addCrashes } from "../fixtures/quarantines.js";
import { createRoute, createRouteTable } from "../fixtures/routes.js";

const fullLoad: ReportedLoad = { running: 16, waiting: 40, slots: 16 };
const timeoutMilliseconds = 900;
const serviceMilliseconds = 50;
/** Body of requests that upstreams never answer. */
const brokenBody = Buffer.from("broken");

function createRoomForwarder(load: ReportedLoad | undefined) {
    const route = createRoute({ kind: "at-most-once", maxAttempts: 1, timeoutMilliseconds });
    return createForwarder({
        getRoutes: () => createRouteTable({ routes: [route] }),
        behaviour: async ({ request }) => {
            await setTimeout(serviceMilliseconds);
            return request.body.equals(brokenBody) ? createCallFailure("broken") : createAnswer(["done"], { load });
        },
    });
}

async function sendMany({ send }: ReturnType<typeof createRoomForwarder>, count: number) {
    return await Promise.all(Array.from({ length: count }).map(() => send()));
}

describe("WaitingRoom", () => {
    it("turns away what a full pool cannot answer in time, as not run, with a time to return", async () => {
        const forwarder = createRoomForwarder(fullLoad);
        await sendMany(forwarder, 5);
        const startedAt = performance.now();
        const callers = await sendMany(forwarder, 400);
        const refusals = callers.flatMap(({ refusal }) => refusal ?? []);
        expect(refusals.length > 0).toEqual(true);
        for (const { outcome, failure } of refusals) {
            expect([outcome, failure.kind]).toEqual(["not-run", "overloaded"]);
            expect((failure.retryAfterMilliseconds ?? Infinity) <= timeoutMilliseconds / 3).toEqual(true);
        }
        expect(performance.now() - startedAt < timeoutMilliseconds + 400).toEqual(true);
    });

    it("passes all requests to a pool that does not report its load", async () => {
        const callers = await sendMany(createRoomForwarder(undefined), 400);
        expect(callers.every(({ status }) => status === 200)).toEqual(true);
    });

    // Guards against requests that begin for callers who have left, which take the room of others.
    it("drops a waiting request whose caller disconnects", async () => {
        const { forwarder, calls, ...rest } = createRoomForwarder(fullLoad);
        await sendMany({ forwarder, calls, ...rest }, 5);
        const leaving = new CallerStandin();
        const others = Array.from({ length: 20 }).map(() =>
            forwarder.handle(createCallerRequest(), new CallerStandin())
        );
        const handled = forwarder.handle(createCallerRequest(), leaving);
        leaving.disconnect();
        await handled;
        await Promise.all(others);
        expect(leaving.status).toEqual(undefined);
    });

    // Guards against requests that crash upstreams and are sent all the same because they were admitted before they waited.
    it("refuses a request that was quarantined while it waited", async () => {
        const fixture = createRoomForwarder(fullLoad);
        await sendMany(fixture, 5);
        const known = fixture.calls.length;
        const callers = Array.from({ length: 40 }).map(() => new CallerStandin());
        const handled = callers.map(caller =>
            fixture.forwarder.handle(createCallerRequest({ body: brokenBody }), caller)
        );
        await waitUntil(() => fixture.calls.length > known, { description: "a request to begin" });
        const begun = fixture.calls.length;
        addCrashes(fixture.quarantine, getFingerprint(), 3);
        await Promise.all(handled);
        expect(fixture.calls.length).toEqual(begun);
        expect(callers.some(({ refusal }) => refusal?.failure.kind === "quarantined")).toEqual(true);
    });

    // Guards against a harmless request that is refused for longer since its trial went to an attempt that was not sent.
    it("keeps the trial of a request for which there is no upstream", async () => {
        const clock = new ManualClock(1_000);
        let hasUpstreams = false;
        const { send, quarantine, calls } = createForwarder({
            clock,
            selectVersion: upstreams => hasUpstreams ? upstreams : [],
        });
        addCrashes(quarantine, getFingerprint(), 3);
        clock.advance(60_000);
        await send({ body: brokenBody, arrivedAt: clock.monotonic() });
        hasUpstreams = true;
        const { status } = await send({ body: brokenBody, arrivedAt: clock.monotonic() });
        expect([status, calls.length]).toEqual([200, 1]);
    });
});

/** Returns the key of the requests of these tests for any query. */
function getFingerprint(): string {
    const { method, host, target } = createCallerRequest();
    const [path, query] = target.split("?");
    const content = { method, host, path, workspace: "harbour", body: brokenBody };
    return createWatchedRequest({ id: "any", isStream: false, content, query, prompt: undefined }).getTraitKeys()[0];
}
