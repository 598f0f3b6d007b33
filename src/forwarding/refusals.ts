/**
 * Refusals of requests that no upstream has run, and when their callers should come back.
 */
import { type Err, err } from "neverthrow";
import { Failure, type Refusal } from "../common/index.js";
import type { AttemptFailure } from "./attempts.js";
import type { Exchange } from "./exchange.js";

/**
 * A refused caller comes back within this part of its time, spread evenly: later, it would have too little time left to be
 * served; all at once, they would meet the same full upstreams again.
 */
const minRetryShare = 0.04;
const maxRetryShare = 0.16;
/** No caller is asked back sooner or later than this, in milliseconds. */
const minRetryAfterMilliseconds = 60;
const maxRetryAfterMilliseconds = 1_500;

/**
 * Draws when the caller of a refused request should come back.
 * @param timeLeftMilliseconds - What is left of its time.
 * @param random - From 0 to 1.
 */
export function drawRetryAfterMilliseconds(timeLeftMilliseconds: number, random: number): number {
    const share = minRetryShare + random * (maxRetryShare - minRetryShare);
    return Math.min(maxRetryAfterMilliseconds, Math.max(minRetryAfterMilliseconds, timeLeftMilliseconds * share));
}

/**
 * Creates the refusal of a request that no upstream has run.
 * @param exchange - The request.
 * @param error - Why the last attempt failed or was not made.
 */
export function createNotRunRefusal(exchange: Exchange, error: AttemptFailure): Refusal {
    const reason = error.kind === "not-made" ? error.reason : error.failure.kind;
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: reason === "nobody" ? "unavailable" : "overloaded",
            message: `No upstream of the pool ${exchange.pool} took the request (${reason}).`,
            remedy: "Come back after the given time.",
            retryAfterMilliseconds: drawRetryAfterMilliseconds(exchange.getTimeLeft(), Math.random()),
        }),
    };
}

/** Creates the failure of an attempt whose answer broke off. */
export function createBrokenFailure(reason: string): Err<never, AttemptFailure> {
    return err({ kind: "failed", failure: { kind: "broken", reason } });
}
