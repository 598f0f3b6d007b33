import { expect } from "earl";
import type { Result } from "neverthrow";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { UpstreamAnswer, UpstreamCallFailure } from "../../src/forwarding/index.js";
import {
    CallerStandin,
    createAnswer,
    createCallerRequest,
    createCallFailure,
    createForwarder,
    type ForwarderFixtureOptions,
    type UpstreamBehaviour,
} from "../fixtures/forwarders.js";
import { createRoute, createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

const lateHeadMilliseconds = 2_700;
const queueMilliseconds = 20_000;
const deadlineMilliseconds = 6_000;
/** Deadline of which a share, 1.6 s, is the timeout of a call; that of a stream is 1.4 s. */
const shortDeadlineMilliseconds = 4_000;
/** Times after which the first upstream answers that was given up, and those of the second one before and after it. */
const firstMilliseconds = 2_200;
const beforeMilliseconds = 100;
const afterMilliseconds = 1_200;

/** The first upstream answers late; the second one does not begin before the deadline. */
const behaviour: UpstreamBehaviour = async ({ signal }, _, count) => {
    const milliseconds = count === 1 ? lateHeadMilliseconds : queueMilliseconds;
    await sleep(milliseconds, undefined, { signal }).catch(() => undefined);
    return signal.aborted ? createCallFailure("broken") : createAnswer(["done"], { confidence: 80 });
};

describe("a request whose answer does not begin in time", () => {
    // Guards against requests that are given up, and never answered, for a place in the queue of another upstream.
    it("is answered by the upstream that begins first, be it the one that was asked first", async () => {
        const statuses = [];
        for (
            const route of [
                createStreamRoute({ maxAttempts: 2 }),
                createRoute({ maxAttempts: 2, timeoutMilliseconds: deadlineMilliseconds }),
            ]
        ) {
            const getRoutes = () => createRouteTable({ routes: [route] });
            const { send } = createForwarder({ behaviour, getRoutes, upstreams: createUpstreams(3) });
            statuses.push((await send({ deadlineMilliseconds })).status);
        }
        expect(statuses).toEqual([200, 200]);
    });
});

/** How an upstream answers a call, and after which time. */
interface Step {
    readonly milliseconds: number;
    readonly createResult: () => Result<UpstreamAnswer, UpstreamCallFailure>;
}

function answerAfter(milliseconds: number, text: string, status = 200): Step {
    return { milliseconds, createResult: () => createAnswer([text], { status, confidence: 80 }) };
}

function failAfter(milliseconds: number, kind: UpstreamCallFailure["kind"]): Step {
    return { milliseconds, createResult: () => createCallFailure(kind) };
}

const neverAnswer = failAfter(queueMilliseconds, "broken");

/** Sends a stream and a call to upstreams that take the calls of each with the given steps. */
function sendBoth(steps: readonly Step[], options: ForwarderFixtureOptions = {}, leaveMilliseconds?: number) {
    const routes = [
        createStreamRoute({ maxAttempts: steps.length, timeoutMilliseconds: shortDeadlineMilliseconds }),
        createRoute({ maxAttempts: steps.length, timeoutMilliseconds: shortDeadlineMilliseconds }),
    ];
    return Promise.all(routes.map(async route => {
        const openCalls = new Set<number>();
        let maxOpenCalls = 0;
        const endedCalls: number[] = [];
        const behaviour: UpstreamBehaviour = async ({ signal }, _, count) => {
            const { milliseconds, createResult } = steps[count - 1];
            signal.addEventListener("abort", () => {
                endedCalls.push(count);
                openCalls.delete(count);
            });
            openCalls.add(count);
            maxOpenCalls = Math.max(maxOpenCalls, openCalls.size);
            await sleep(milliseconds, undefined, { signal }).catch(() => undefined);
            openCalls.delete(count);
            return signal.aborted ? createCallFailure("broken") : createResult();
        };
        const fixture = createForwarder({
            behaviour,
            getRoutes: () => createRouteTable({ routes: [route] }),
            upstreams: createUpstreams(4),
            ...options,
        });
        const caller = new CallerStandin();
        if (leaveMilliseconds !== undefined) {
            setTimeout(() => caller.disconnect(), leaveMilliseconds);
        }
        const request = createCallerRequest({ deadlineMilliseconds: shortDeadlineMilliseconds, session: "session" });
        await fixture.forwarder.handle(request, caller);
        const attempts = fixture.lines.filter(({ name }) => name === "attempt-ended");
        return {
            answer: [caller.status ?? caller.refusal?.failure.kind, ...caller.chunks],
            calls: fixture.calls.length,
            outcomes: attempts.sort((left, right) => Number(left.attempt) - Number(right.attempt))
                .map(({ outcome }) => outcome),
            endedCalls,
            maxOpenCalls,
            openCalls: openCalls.size,
            runOutcome: caller.refusal?.outcome,
            lines: fixture.lines,
        };
    }));
}

describe("a request whose first upstream is awaited beside the second one", { concurrency: true }, () => {
    // Guards against an upstream that works on for nobody since the other one has answered.
    it("is answered by the second one if that begins first, and the first one is ended", async () => {
        for (const result of await sendBoth([neverAnswer, answerAfter(beforeMilliseconds, "second")])) {
            const { answer, outcomes, endedCalls, openCalls } = result;
            expect([answer, outcomes, openCalls]).toEqual([[200, "second"], ["silent", "ok"], 0]);
            expect(endedCalls).toEqual([1]);
        }
    });

    // Guards against an upstream that works on for nobody since the first one has gone on.
    it("is answered by the first one if that begins first, and the second one is ended", async () => {
        for (const result of await sendBoth([answerAfter(firstMilliseconds, "first"), neverAnswer])) {
            const { answer, outcomes, endedCalls, openCalls } = result;
            expect([answer, outcomes, openCalls]).toEqual([[200, "first"], ["ok", "cancelled"], 0]);
            expect(endedCalls).toEqual([2]);
        }
    });

    const failures: readonly (readonly [string, (milliseconds: number) => Step, string])[] = [
        ["rejects the request", milliseconds => failAfter(milliseconds, "refused"), "refused"],
        ["fails", milliseconds => failAfter(milliseconds, "broken"), "silent"],
        ["closes the connection", milliseconds => failAfter(milliseconds, "disconnected"), "silent"],
        ["answers with status 500", milliseconds => answerAfter(milliseconds, "failed", 500), "error"],
        ["answers with status 503", milliseconds => answerAfter(milliseconds, "failed", 503), "error"],
    ];
    for (const [title, fail, outcome] of failures) {
        // Guards against a request that fails with one upstream although the other one would answer it.
        it(`is answered by the second one if the first one ${title}`, async () => {
            const steps = [fail(firstMilliseconds), answerAfter(afterMilliseconds, "second")];
            for (const { answer, outcomes, calls, openCalls } of await sendBoth(steps)) {
                expect([answer, outcomes, calls, openCalls]).toEqual([[200, "second"], [outcome, "ok"], 2, 0]);
            }
        });

        // Guards against a request that fails with one upstream although the other one would answer it.
        it(`is answered by the first one if the second one ${title}`, async () => {
            const steps = [answerAfter(firstMilliseconds, "first"), fail(beforeMilliseconds)];
            for (const { answer, outcomes, calls, openCalls } of await sendBoth(steps)) {
                expect([answer, outcomes, calls, openCalls]).toEqual([[200, "first"], ["ok", outcome], 2, 0]);
            }
        });
    }

    // Guards against callers that are told less, or may repeat a request that has run, where both upstreams fail.
    it("is answered like any other one if both fail", async () => {
        const broken = failAfter(afterMilliseconds, "broken");
        for (const { answer, outcomes } of await sendBoth([answerAfter(firstMilliseconds, "failed", 500), broken])) {
            expect([answer, outcomes]).toEqual([[500, "failed"], ["error", "silent"]]);
        }
        const refused = failAfter(afterMilliseconds, "refused");
        for (const { answer, runOutcome } of await sendBoth([failAfter(firstMilliseconds, "broken"), refused])) {
            expect([answer, runOutcome]).toEqual([["upstream-failed"], "unknown"]);
        }
    });

    // Guards against a crash that goes unnoticed since its upstream was awaited beside another one.
    it("counts a crash of the first one", async () => {
        const crashed = new Set(createUpstreams(4).map(({ id }) => id));
        const steps = [failAfter(firstMilliseconds, "disconnected"), answerAfter(afterMilliseconds, "second")];
        for (const { answer, lines } of await sendBoth(steps, { crashed })) {
            expect(answer).toEqual([200, "second"]);
            expect(lines.filter(({ name }) => name === "upstream-crashed").length).toEqual(1);
        }
    });

    // Guards against two upstreams that are crashed at once by the same request.
    it("is awaited at one upstream only if it may crash those that run it", async () => {
        const crashed = new Set(createUpstreams(4).map(({ id }) => id));
        const steps = [failAfter(1, "disconnected"), neverAnswer, answerAfter(beforeMilliseconds, "third")];
        for (const { answer, maxOpenCalls } of await sendBoth(steps, { crashed })) {
            expect([answer, maxOpenCalls]).toEqual([[200, "third"], 1]);
        }
    });

    // Guards against calls without a bound for a request that nobody answers.
    it("is awaited at two upstreams at most, those that were asked last", async () => {
        const steps = [neverAnswer, neverAnswer, answerAfter(beforeMilliseconds, "third")];
        const [stream] = await sendBoth(steps);
        const { answer, outcomes, maxOpenCalls, openCalls } = stream;
        expect([answer, outcomes]).toEqual([[200, "third"], ["silent", "silent", "ok"]]);
        expect([maxOpenCalls, openCalls]).toEqual([2, 0]);
    });

    // Guards against a request that is tried no more since the one upstream that failed was asked beside another one.
    it("is sent to a third one if the second one fails", async () => {
        const steps = [neverAnswer, failAfter(beforeMilliseconds, "refused"), answerAfter(beforeMilliseconds, "third")];
        for (const { answer, outcomes, maxOpenCalls } of await sendBoth(steps)) {
            expect([answer, outcomes, maxOpenCalls]).toEqual([[200, "third"], ["silent", "refused", "ok"], 2]);
        }
    });

    // Guards against upstreams that work on for a caller that is gone.
    it("ends at both upstreams when its caller leaves", async () => {
        for (const result of await sendBoth([neverAnswer, neverAnswer], {}, firstMilliseconds)) {
            const { answer, outcomes, endedCalls, openCalls } = result;
            expect([answer[0] === 200, outcomes, openCalls]).toEqual([false, ["silent", "cancelled"], 0]);
            expect(endedCalls).toEqual([1, 2]);
        }
    });

    // Guards against upstreams that work on for a caller whose time is over, and callers that repeat what may have run.
    it("ends at both upstreams at its deadline", async () => {
        for (const result of await sendBoth([neverAnswer, neverAnswer])) {
            const { answer, runOutcome, outcomes, endedCalls, openCalls } = result;
            expect([answer, runOutcome, openCalls]).toEqual([["deadline"], "unknown", 0]);
            expect([outcomes, endedCalls]).toEqual([["silent", "cancelled"], [1, 2]]);
        }
    });
});
