/**
 * Refusals of requests that no upstream has run, with their retry delays.
 */
import { type Err, err } from "neverthrow";
import { Failure, type Refusal } from "../common/index.js";
import type { PoolPressure } from "../decisions/index.js";
import { createQuarantineFailure } from "../quarantine/index.js";
import type { AttemptFailure } from "./attempt.js";
import { createEndRefusal, type Exchange, getRankedRequest } from "./exchange.js";

/**
 * Bounds of the retry delay as shares of the caller's remaining time; delays are drawn uniformly. A caller that retries later has
 * too little time left to be served. Callers that retry simultaneously find the same upstreams full again.
 */
const minRetryShare = 0.04;
const maxRetryShare = 0.16;
/** Absolute bounds of the retry delay. */
const minRetryAfterMilliseconds = 60;
const maxRetryAfterMilliseconds = 1_500;
/** Share of the caller's remaining time beyond which it does not wait. */
const maxWaitShare = 1 / 3;
/**
 * Share of the expected wait by which delays are spread. Callers with nearly the same wait return in the order in which they were
 * refused, and not all at once.
 */
const waitSpreadShare = 0.25;

/** What the retry delay of a refused request depends on. */
export interface RetryDelayOptions {
    /** The caller's remaining time in milliseconds. */
    readonly millisecondsLeft: number;
    /** Time for which the upstreams asked for rest, in milliseconds. */
    readonly restMilliseconds: number;
    /** Expected time until a request of the same priority would begin at the pool, in milliseconds; 0 if unknown. */
    readonly roomWaitMilliseconds: number;
    /** Random number from 0 to 1. */
    readonly random: number;
}

/** Reasons that lie in the upstreams or the paths to them, and not in how much they have to do. */
const unavailableReasons: ReadonlySet<string> = new Set(["nobody", "limited", "unreachable"]);

/**
 * Draws the retry delay of a refused request.
 * @param timeLeftMilliseconds - The caller's remaining time.
 * @param random - Random number from 0 to 1.
 */
export function drawRetryAfterMilliseconds(timeLeftMilliseconds: number, random: number): number {
    const share = minRetryShare + random * (maxRetryShare - minRetryShare);
    return Math.min(maxRetryAfterMilliseconds, Math.max(minRetryAfterMilliseconds, timeLeftMilliseconds * share));
}

/**
 * Returns the retry delay of a refused request, in milliseconds: the time at which room is expected for it, where that is known, and
 * at most a third of the caller's remaining time.
 * @param options - The options.
 */
export function getRetryDelayMilliseconds(options: RetryDelayOptions): number {
    const { millisecondsLeft, restMilliseconds, roomWaitMilliseconds, random } = options;
    const limit = Math.max(minRetryAfterMilliseconds, millisecondsLeft * maxWaitShare);
    if (roomWaitMilliseconds <= 0) {
        return Math.min(limit, restMilliseconds + drawRetryAfterMilliseconds(millisecondsLeft, random));
    }
    const wait = Math.max(minRetryAfterMilliseconds, restMilliseconds, roomWaitMilliseconds);
    const spread = random * Math.max(minRetryAfterMilliseconds, waitSpreadShare * wait);
    // A common limit would let all callers with a longer wait return at the same moment.
    return Math.min(wait + spread, limit * (1 - waitSpreadShare * random));
}

/** What a caller is told of a request that may have run and was not answered. */
export interface UnansweredText {
    readonly message: string;
    readonly remedy: string;
}

/**
 * Creates the refusal of a request without a whole answer.
 * @param exchange - The request.
 * @param error - Why the last attempt failed or was not made.
 * @param pressure - Knows when room is expected.
 * @param text - What the caller is told if the request may have run.
 */
export function createAnswerRefusal(
    exchange: Exchange,
    error: AttemptFailure,
    pressure: PoolPressure,
    text: UnansweredText,
): Refusal {
    const endRefusal = createEndRefusal(exchange);
    if (endRefusal !== undefined) {
        return endRefusal;
    }
    if (exchange.outcome === "not-run") {
        return createNotRunRefusal(exchange, error, pressure);
    }
    return { outcome: exchange.outcome, failure: new Failure({ kind: "upstream-failed", ...text }) };
}

/**
 * Creates the refusal of a request that no upstream has run.
 * @param exchange - The request.
 * @param error - Why the last attempt failed or was not made.
 * @param pressure - Knows when room is expected.
 */
function createNotRunRefusal(exchange: Exchange, error: AttemptFailure, pressure: PoolPressure): Refusal {
    if (error.kind === "not-made" && error.reason === "quarantined") {
        return { outcome: "not-run", failure: createQuarantineFailure(error.retryAfterMilliseconds) };
    }
    if (error.kind === "not-made" && error.reason === "no-room") {
        return createNoRoomRefusal(exchange, error.retryAfterMilliseconds);
    }
    const reason = error.kind === "not-made" ? error.reason : error.failure.kind;
    const retryAfterMilliseconds = getRetryDelayMilliseconds({
        millisecondsLeft: exchange.getTimeLeft(),
        restMilliseconds: error.kind === "not-made" ? error.retryAfterMilliseconds ?? 0 : 0,
        roomWaitMilliseconds: pressure.getWaitMilliseconds(getRankedRequest(exchange)),
        random: Math.random(),
    });
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: unavailableReasons.has(reason) ? "unavailable" : "overloaded",
            message: `No upstream of the pool ${exchange.pool} accepted the request (${reason}).`,
            remedy: "Retry after the given time.",
            retryAfterMilliseconds,
        }),
    };
}

function createNoRoomRefusal({ pool }: Exchange, retryAfterMilliseconds: number | undefined): Refusal {
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: "overloaded",
            message: `The pool ${pool} is full, and the request could not be answered in time.`,
            remedy: "Retry after the given time, not earlier.",
            retryAfterMilliseconds,
        }),
    };
}

/** Creates the failure of an attempt whose answer was truncated. */
export function createBrokenFailure(reason: string): Err<never, AttemptFailure> {
    return err({ kind: "failed", failure: { kind: "broken", reason } });
}
