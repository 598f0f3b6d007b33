import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout } from "node:timers/promises";
import type { UpstreamCall } from "../../src/forwarding/index.js";
import {
    CallerStandin,
    createAnswer,
    createCallerRequest,
    createCallFailure,
    createForwarder,
} from "../fixtures/forwarders.js";
import { createRoute, createRouteTable } from "../fixtures/routes.js";

function createUnaryForwarder(
    kind: "idempotent" | "at-most-once",
    options: Parameters<typeof createForwarder>[0] = {},
) {
    const route = createRoute({ kind, maxAttempts: kind === "idempotent" ? 2 : 1, timeoutMilliseconds: 900 });
    return createForwarder({ getRoutes: () => createRouteTable({ routes: [route] }), ...options });
}

/** Waits until a call is aborted, like an upstream that never answers. */
function waitForAbort(call: UpstreamCall) {
    return new Promise<ReturnType<typeof createCallFailure>>(resolve => {
        call.signal.addEventListener("abort", () => resolve(createCallFailure("broken")));
    });
}

describe("runUnary", () => {
    it("retries at another upstream when a request may be repeated", async () => {
        const { send, calls } = createUnaryForwarder("idempotent", {
            behaviour: (...[, , count]) =>
                count === 1 ? createAnswer(["oops"], { status: 500 }) : createAnswer(["done"]),
        });
        expect((await send()).chunks).toEqual(["done"]);
        expect(calls[0].upstream).not.toEqual(calls[1].upstream);
    });

    // The connection to an instance breaks during a booking, which may have been made. If the request were sent to another
    // instance, the driver would be ordered twice.
    it("never repeats a request that may have run, and does not report it as not run", async () => {
        const { send, calls } = createUnaryForwarder("at-most-once", { behaviour: () => createCallFailure("broken") });
        const { refusal } = await send();
        expect([calls.length, refusal?.outcome, refusal?.failure.kind]).toEqual([1, "unknown", "upstream-failed"]);
    });

    it("never repeats a request whose answer was truncated", async () => {
        const { send, calls } = createUnaryForwarder("at-most-once", {
            behaviour: () => createAnswer(["ha"], { breaksConnection: true }),
        });
        const { refusal } = await send();
        expect([calls.length, refusal?.outcome]).toEqual([1, "ran"]);
    });

    it("tries another upstream without counting an attempt when no connection was established", async () => {
        const { send, calls } = createUnaryForwarder("at-most-once", {
            behaviour: (...[, , count]) => count === 1 ? createCallFailure("not-sent") : createAnswer(["done"]),
        });
        expect([(await send()).status, calls.length]).toEqual([200, 2]);
    });

    // An instance is killed in the middle of an answer without a length, and its connection closes in order. Half a confirmation would
    // pass for all of it.
    it("does not deliver an answer without a known end whose upstream has not outlived it, and retries where it may", async () => {
        const behaviour = (...[, , count]: unknown[]) =>
            count === 1 ? createAnswer(["ha"], { hasKnownEnd: false }) : createAnswer(["whole"]);
        const crashed = new Set(["u1", "u2", "u3"]);
        const booking = createUnaryForwarder("at-most-once", { behaviour, crashed });
        const { chunks, refusal } = await booking.send();
        expect([chunks, refusal?.outcome, refusal?.failure.kind, booking.calls.length]).toEqual([
            [],
            "ran",
            "upstream-failed",
            1,
        ]);
        const query = await createUnaryForwarder("idempotent", { behaviour, crashed }).send();
        expect(query.chunks).toEqual(["whole"]);
    });

    // Guards against a sound confirmation that is withheld since its upstream frames nothing.
    it("delivers an answer without a known end whose upstream has outlived it", async () => {
        const { send, calls } = createUnaryForwarder("at-most-once", {
            behaviour: () => createAnswer(["all"], { hasKnownEnd: false }),
        });
        expect([(await send()).chunks, calls.length]).toEqual([["all"], 1]);
    });

    // Guards against half an answer that passes for a whole one since two upstreams were killed at the same byte of it.
    it("does not take two equal answers for whole of which no upstream has outlived either", async () => {
        const { send } = createUnaryForwarder("idempotent", {
            behaviour: () => createAnswer(["ha"], { hasKnownEnd: false }),
            crashed: new Set(["u1", "u2", "u3"]),
        });
        const { chunks, refusal } = await send();
        expect([chunks, refusal?.outcome]).toEqual([[], "ran"]);
    });

    // Guards against half an answer that is delivered although the second upstream sent all of it.
    it("delivers the longest of the answers without a known end", async () => {
        for (const bodies of [["ha", "half and whole"], ["half and whole", "ha"]]) {
            const { send, lines } = createUnaryForwarder("idempotent", {
                behaviour: (...[, , count]) => createAnswer([bodies[count - 1]], { hasKnownEnd: false }),
            });
            const caller = await send();
            expect([caller.chunks, caller.isComplete]).toEqual([["half and whole"], true]);
            expect(lines.filter(line => line.name === "partial-answer-chosen").map(line => line.bytes)).toEqual([
                bodies.map(body => body.length).join(","),
            ]);
        }
    });

    // Guards against a success that is replaced by a longer failure, and against an answer that is exchanged for one of the same length.
    it("keeps the first of equal answers without a known end, and a success before a failure", async () => {
        const answers = [
            createAnswer(["one"], { hasKnownEnd: false }),
            createAnswer(["a long failure"], { hasKnownEnd: false, status: 500 }),
            createAnswer(["two"], { hasKnownEnd: false }),
        ];
        const route = createRoute({ kind: "idempotent", maxAttempts: 3, timeoutMilliseconds: 900 });
        const { send } = createForwarder({
            getRoutes: () => createRouteTable({ routes: [route] }),
            behaviour: (...[, , count]) => answers[count - 1],
        });
        expect((await send()).chunks).toEqual(["one"]);
    });

    // Guards against a further run for an answer that two upstreams have given alike.
    it("asks for an answer without a known end until two upstreams agree", async () => {
        const route = createRoute({ kind: "idempotent", maxAttempts: 3, timeoutMilliseconds: 900 });
        const { send, calls } = createForwarder({
            getRoutes: () => createRouteTable({ routes: [route] }),
            behaviour: () => createAnswer(["same"], { hasKnownEnd: false }),
        });
        expect([(await send()).chunks, calls.length]).toEqual([["same"], 2]);
    });

    // Every instance is full and refuses. The caller must receive a prompt refusal with the outcome not run and a retry delay.
    it("reports that a request has not run, with a retry delay, when every upstream refuses", async () => {
        const { send } = createUnaryForwarder("at-most-once", { behaviour: () => createCallFailure("refused") });
        const { refusal } = await send();
        expect([refusal?.outcome, refusal?.failure.kind]).toEqual(["not-run", "overloaded"]);
        const retryAfterMilliseconds = refusal!.failure.retryAfterMilliseconds!;
        expect(retryAfterMilliseconds >= 30 && retryAfterMilliseconds <= 300).toEqual(true);
    });

    it("returns the upstream's own failure when no upstream succeeded", async () => {
        const { send } = createUnaryForwarder("idempotent", {
            behaviour: () => createAnswer(["oops"], { status: 500 }),
        });
        const caller = await send();
        expect([caller.status, caller.chunks]).toEqual([500, ["oops"]]);
    });

    // An instance accepts a request and stops responding. The caller of a repeatable request must not wait until its deadline.
    it("leaves an unresponsive upstream while there is time for another one", async () => {
        const { send, calls, renewed } = createUnaryForwarder("idempotent", {
            behaviour: (call, ...[, count]) => count === 1 ? waitForAbort(call) : createAnswer(["done"]),
        });
        const caller = await send();
        expect([caller.status, calls.length, renewed.length]).toEqual([200, 2, 1]);
    });

    it("refuses at the route's timeout and aborts the call", async () => {
        let wasAborted = false;
        const { send } = createUnaryForwarder("at-most-once", {
            behaviour: async call => {
                const failure = await waitForAbort(call);
                wasAborted = true;
                return failure;
            },
        });
        const before = performance.now();
        const { refusal } = await send({ deadlineMilliseconds: 400 });
        expect([refusal?.failure.kind, wasAborted]).toEqual(["deadline", true]);
        expect(performance.now() - before >= 380).toEqual(true);
    });

    it("aborts the call when the caller disconnects, and tells when that was known", async () => {
        const { forwarder, calls, lines } = createUnaryForwarder("idempotent", { behaviour: waitForAbort });
        const caller = new CallerStandin();
        const handled = forwarder.handle(createCallerRequest(), caller);
        await new Promise(resolve => setImmediate(resolve));
        caller.disconnect();
        await handled;
        expect([calls.length, calls[0].call.signal.aborted]).toEqual([1, true]);
        const { callerGoneMs } = lines.find(line => line.name === "request-ended")!;
        const { startedMs } = lines.find(line => line.name === "attempt-ended")!;
        expect(Number(callerGoneMs) >= Number(startedMs)).toEqual(true);
    });

    // Guards against attempts that are cut off while their upstream works, for a retry that is then refused.
    it("waits for a slow upstream while less than one retry is left", async () => {
        const { send, calls } = createUnaryForwarder("idempotent", {
            retryAllowance: 1,
            behaviour: async call => {
                const answered = setTimeout(500).then(() => createAnswer(["done"]));
                return await Promise.race([waitForAbort(call), answered]);
            },
        });
        expect([(await send()).status, calls.length]).toEqual([200, 1]);
    });

    // Guards against callers who wait behind the queue of a full pool although an answer is at hand.
    it("gives the failure at hand instead of waiting long for another answer", async () => {
        const answerAfter = async (waitMilliseconds: number) => {
            const { send, calls } = createUnaryForwarder("idempotent", {
                room: { getOccupancy: () => 1.2, getWaitMilliseconds: () => waitMilliseconds },
                behaviour: () => createAnswer(["oops"], { status: 500 }),
            });
            return [(await send()).status, calls.length];
        };
        expect([await answerAfter(0), await answerAfter(60_000)]).toEqual([[500, 2], [500, 1]]);
    });

    it("does not retry when the pool's retry budget is used up", async () => {
        const { send, calls } = createUnaryForwarder("idempotent", {
            retryAllowance: 0,
            behaviour: () => createAnswer(["oops"], { status: 500 }),
        });
        expect([(await send()).status, calls.length]).toEqual([500, 1]);
    });
});
