/**
 * Maps refusals to the outcomes that the admission controller counts.
 */
import type { Refusal } from "./problem.js";

/**
 * Returns how a request ended for the adaptive limit.
 *
 * A caller that disconnected says nothing about the upstreams. If disconnections counted as failures, impatient callers
 * would lower the limit until all other callers are refused.
 * @param refusal - Why there was no answer.
 * @param isCallerDisconnected - Whether the caller's connection is closed.
 */
export function getTicketOutcome(refusal: Refusal, isCallerDisconnected: boolean): "refused" | "failed" | "cancelled" {
    if (isCallerDisconnected) {
        return "cancelled";
    }
    if (refusal.failure.kind === "deadline" || refusal.failure.kind === "upstream-failed") {
        return "failed";
    }
    return refusal.outcome === "not-run" ? "refused" : "failed";
}
