import { expect } from "earl";
import { describe, it } from "node:test";
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import type { RunEnd } from "./runEnds.js";
import type { ObservedRequest } from "./soakCallers.js";
import type { ExecutedRequest } from "./soakChecks.js";
import { findIncomplete, type NodeFault, type SoakLosses } from "./soakLosses.js";

const node = "127.0.0.1";
const otherNode = "127.0.0.2";
const id = "stream-1";
const wholeBody = "id: 1\ndata: a\n\nid: 2\ndata: a\n\n";
const brokenBody = "id: 1\ndata: a\n\n";

/** A stream of two events that was broken off after the first one, 3 s after it was sent. */
const broken: ObservedRequest = {
    id,
    address: node,
    kind: "stream",
    key: "key",
    sentAt: 10_000,
    endedAt: 13_000,
    deadlineMilliseconds: 10_000,
    events: 2,
    hasConnected: true,
    status: 200,
    isSealed: true,
    body: brokenBody,
    isComplete: false,
    isFramed: true,
    reason: "other side closed",
};

/** Returns what excuses the request, "lost" if nothing does, and "whole" if it has a whole answer or refusal. */
function judge(request: ObservedRequest, losses: Partial<SoakLosses> = {}): string {
    const [incomplete, ...others] = findIncomplete({
        observed: [request],
        executed: [],
        getEnd: () => undefined,
        faults: [],
        ...losses,
    });
    expect(others).toEqual([]);
    return incomplete === undefined ? "whole" : incomplete.excuse ?? "lost";
}

function judgeFault(
    fault: Partial<NodeFault>,
    request: Partial<ObservedRequest> = {},
    executed: readonly ExecutedRequest[] = [createRun()],
): string {
    const faults: readonly NodeFault[] = [{ node, kind: "killed", from: 12_000, until: 14_000, ...fault }];
    return judge({ ...broken, ...request }, { faults, executed });
}

function createRun(requestId = id): ExecutedRequest {
    const request: ReceivedRequest = {
        method: "POST",
        target: "/stream/2/15",
        headers: { "attempt-id": requestId },
        body: "hello",
    };
    return { request, at: 10_100, runner: "i-1" };
}

/** Judges the request after runs that ended in these ways and in this order; undefined stands for one that goes on. */
function judgeRuns(...kinds: readonly (RunEnd["kind"] | undefined)[]): string {
    return judgeAfter(broken, kinds);
}

/** Does the same for another request, and for runs of which the last one had no framing. */
function judgeAfter(
    request: ObservedRequest,
    kinds: readonly (RunEnd["kind"] | undefined)[],
    isLastFramed = true,
): string {
    const ends = new Map<ReceivedRequest, RunEnd>();
    const executed = kinds.map((kind, index) => {
        const run = createRun();
        if (kind !== undefined) {
            ends.set(run.request, { kind, at: 10_200 + index });
        }
        return run;
    });
    return judge(request, {
        executed,
        getEnd: run => ends.get(run),
        isFramed: run => isLastFramed || run !== executed.at(-1)?.request,
    });
}

describe("findIncomplete", () => {
    it("takes complete successes and refusals for whole", () => {
        const complete = { ...broken, isComplete: true, reason: undefined };
        expect(judge({ ...complete, body: wholeBody })).toEqual("whole");
        expect(judge({ ...complete, status: 503, body: "busy" })).toEqual("whole");
        expect(judge({ ...complete, status: 504, body: "", isSealed: false })).toEqual("whole");
        expect(judge({ ...complete, kind: "call", events: undefined, body: "done" })).toEqual("whole");
    });

    it("finds each answer that is not whole without a fault", () => {
        expect(judge(broken)).toEqual("lost");
        expect(judge({ ...broken, body: wholeBody })).toEqual("lost");
        expect(judge({ ...broken, isComplete: true })).toEqual("lost");
        expect(judge({ ...broken, status: 502, body: "" })).toEqual("lost");
        expect(judge({ ...broken, status: undefined, body: "" })).toEqual("lost");
        expect(judge({ ...broken, kind: "call", events: undefined, body: "do" })).toEqual("lost");
    });

    it("excuses what ended at its caller's deadline, and nothing that ended before", () => {
        expect(judge({ ...broken, endedAt: 20_000 })).toEqual("deadline");
        expect(judge({ ...broken, endedAt: 19_999 })).toEqual("lost");
    });

    it("excuses what its runner broke off, unless another run was sound then", () => {
        expect(judgeRuns("broken-off")).toEqual("runner");
        expect(judgeRuns("left", "broken-off")).toEqual("runner");
        expect(judgeRuns("broken-off", "failed")).toEqual("runner");
        expect(judgeRuns("failed", "broken-off", "broken-off")).toEqual("runner");
        expect(judgeRuns("broken-off", "left")).toEqual("lost");
        expect(judgeRuns("broken-off", "answered")).toEqual("lost");
        expect(judgeRuns("answered", "broken-off")).toEqual("lost");
        expect(judgeRuns("broken-off", undefined)).toEqual("lost");
        expect(judgeRuns(undefined, "broken-off")).toEqual("lost");
        expect(judgeRuns("left")).toEqual("lost");
        expect(judgeRuns("failed")).toEqual("lost");
        expect(judgeRuns("answered")).toEqual("lost");
    });

    it("excuses a framed stream with all events after a last attempt that had no framing", () => {
        const whole = { ...broken, body: wholeBody };
        const kinds = ["broken-off", "broken-off", "answered"] as const;
        expect(judgeAfter(whole, kinds, false)).toEqual("unstated");
        expect(judgeAfter(whole, kinds)).toEqual("lost");
        expect(judgeAfter(broken, kinds, false)).toEqual("lost");
        expect(judgeAfter({ ...whole, isFramed: false }, kinds, false)).toEqual("lost");
        expect(judgeAfter(whole, kinds.slice(1), false)).toEqual("lost");
        expect(judgeAfter(whole, ["broken-off", "answered", "broken-off"], false)).toEqual("lost");
    });

    it("excuses nothing by what a runner broke off for another request", () => {
        const other = createRun("stream-2");
        const getEnd = (request: ReceivedRequest): RunEnd => ({
            kind: request === other.request ? "broken-off" : "left",
            at: 10_200,
        });
        expect(judge(broken, { executed: [createRun(), other], getEnd })).toEqual("lost");
    });

    it("excuses what its node lost while it was killed, paused or cut off, and nothing of another node or time", () => {
        for (const kind of ["killed", "paused", "cut"] as const) {
            expect(judgeFault({ kind })).toEqual(kind);
            expect(judgeFault({ kind, node: otherNode })).toEqual("lost");
            expect(judgeFault({ kind, from: 8_000, until: 9_999 })).toEqual("lost");
            expect(judgeFault({ kind, from: 13_001, until: 14_000 })).toEqual("lost");
        }
    });

    it("excuses what a stopping node did not pass on, or broke off as its time ran out", () => {
        expect(judgeFault({ kind: "stopped" })).toEqual("lost");
        expect(judgeFault({ kind: "stopped" }, { status: undefined, body: "" }, [])).toEqual("stopped");
        expect(judgeFault({ kind: "stopped" }, { endedAt: 15_300 })).toEqual("lost");
        expect(judgeFault({ kind: "stopped", until: 17_000 }, { endedAt: 15_400 })).toEqual("stopped");
        expect(judgeFault({ kind: "stopped", until: 17_000 }, { sentAt: 15_001, endedAt: 15_400 })).toEqual("lost");
    });

    it("excuses a caller that could not connect only while its node was not there", () => {
        const refused = { ...broken, status: undefined, body: "", hasConnected: false };
        expect(judgeFault({}, refused, [])).toEqual("killed");
        expect(judgeFault({ kind: "cut" }, refused, [])).toEqual("lost");
        expect(judge({ ...refused, endedAt: 20_000 })).toEqual("lost");
        expect(judge(refused)).toEqual("lost");
    });
});
