import { expect } from "earl";
import { describe, it } from "node:test";
import { Failure, type FailureKind, type Outcome } from "../../src/common/index.js";
import { getTicketOutcome } from "../../src/entry/ticketOutcome.js";

describe("getTicketOutcome", () => {
    function getOutcome(kind: FailureKind, outcome: Outcome, isCallerDisconnected: boolean): string {
        const failure = new Failure({ kind, message: "No answer.", remedy: "Send the request again." });
        return getTicketOutcome({ failure, outcome }, isCallerDisconnected);
    }

    // Many callers lose interest in the middle of their answers. Nothing is wrong with the engines; an entry that took
    // it for failures would lower its limit and refuse others for it.
    it("holds a caller's leaving against nobody", () => {
        expect(getOutcome("upstream-failed", "unknown", true)).toEqual("cancelled");
        expect(getOutcome("deadline", "ran", true)).toEqual("cancelled");
    });

    it("counts missed deadlines, broken upstreams and answers that were lost as failures", () => {
        expect(getOutcome("deadline", "not-run", false)).toEqual("failed");
        expect(getOutcome("upstream-failed", "not-run", false)).toEqual("failed");
        expect(getOutcome("unavailable", "unknown", false)).toEqual("failed");
    });

    it("counts what never ran for another reason as refused", () => {
        expect(getOutcome("unavailable", "not-run", false)).toEqual("refused");
    });
});
