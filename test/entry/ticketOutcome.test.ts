import { expect } from "earl";
import { describe, it } from "node:test";
import { Failure, type FailureKind, type Outcome } from "../../src/common/index.js";
import { getTicketOutcome } from "../../src/entry/ticketOutcome.js";

describe("getTicketOutcome", () => {
    function getOutcome(kind: FailureKind, outcome: Outcome, isCallerDisconnected: boolean): string {
        const failure = new Failure({ kind, message: "No answer.", remedy: "Send the request again." });
        return getTicketOutcome({ failure, outcome }, isCallerDisconnected);
    }

    // Many callers disconnect in the middle of their answers, while the engines are healthy. An entry that counted this
    // as failures would lower its limit and refuse other callers.
    it("does not count a caller's disconnection as a failure", () => {
        expect(getOutcome("upstream-failed", "unknown", true)).toEqual("cancelled");
        expect(getOutcome("deadline", "ran", true)).toEqual("cancelled");
    });

    it("counts missed deadlines, failed upstreams and lost answers as failures", () => {
        expect(getOutcome("deadline", "not-run", false)).toEqual("failed");
        expect(getOutcome("upstream-failed", "not-run", false)).toEqual("failed");
        expect(getOutcome("unavailable", "unknown", false)).toEqual("failed");
    });

    it("counts requests that did not run for another reason as refused", () => {
        expect(getOutcome("unavailable", "not-run", false)).toEqual("refused");
    });
});
