/**
 * Refusals of single attempts, and what they say together about whether a request ran.
 */
import { Failure, type Outcome } from "../common/index.js";
import type { ChatCall } from "./chatCall.js";
import { createNotRunRefusal, type Refusal } from "./problem.js";

/** Represents an attempt without an answer. */
export interface AttemptRefusal extends Refusal {
    /** Whether an attempt on another runner may succeed. */
    readonly isRetriable: boolean;
}

/** Creates the refusal of a request that no other runner would accept either. */
export function createFinalRefusal(failure: Failure): AttemptRefusal {
    return { ...createNotRunRefusal(failure), isRetriable: false };
}

/** Creates the refusal of an answer by another version than the requested one. */
export function createMismatchRefusal(runner: string, requested: string, found: string): AttemptRefusal {
    return {
        isRetriable: true,
        outcome: "ran",
        failure: new Failure({
            kind: "upstream-failed",
            message: `The engine ${runner} ran ${found} instead of ${requested}.`,
            remedy: "Send the request again; the engine's answer was discarded.",
            retryAfterMilliseconds: 1000,
        }),
    };
}

/** Returns the refusal of a call whose deadline has passed, or the given one if it has not. */
export function toDeadlineRefusal(call: ChatCall, refusal: Refusal): Refusal {
    if (!call.deadlineSignal.aborted) {
        return refusal;
    }
    return {
        outcome: refusal.outcome,
        failure: new Failure({
            kind: "deadline",
            message: `The answer was not complete within ${call.settings.deadlineMilliseconds} ms.`,
            remedy: "Request a shorter answer or have the workspace's deadline_ms raised.",
        }),
    };
}

const outcomeOrder: readonly Outcome[] = ["not-run", "unknown", "ran"];

/**
 * Returns the outcome that guarantees less. If one attempt of a request may have run, the request must not be reported
 * as "not run" because a later attempt was refused.
 */
export function combineOutcomes(first: Outcome, second: Outcome): Outcome {
    return outcomeOrder.indexOf(first) >= outcomeOrder.indexOf(second) ? first : second;
}
