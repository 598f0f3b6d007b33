/**
 * What a refused request tells the admission controller about the upstreams.
 */
import type { Refusal } from "./problem.js";

/**
 * Returns how a request ended, as the adaptive limit should see it.
 *
 * A caller that left says nothing about the upstreams: counted as failures, impatient callers would lower the limit
 * until everybody else is refused.
 * @param refusal - Why there was no answer.
 * @param isCallerDisconnected - Whether the caller's connection is gone.
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
