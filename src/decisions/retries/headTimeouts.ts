/**
 * Timeouts for the heads of answers, after which a request that may be repeated is sent to another upstream.
 */

/** Shortest timeout of a plain request. A sound process may do nothing for some tens of milliseconds. */
const minPlainMilliseconds = 100;
/** Shortest timeout of a plain request while the usual answer time is unknown. */
const minUnlearnedMilliseconds = 300;
/** The timeout of a plain request is at least this factor times the high quantile of the answer times. */
const minPlainFactor = 2;
/** Time for a second answer, as a factor of the high quantile; its way to the caller is included. */
const secondAnswerFactor = 1.2;
/** Share of a pool's retries that second tries of slow requests leave to requests that fail. */
const minRetryShareLeft = 0.5;
/**
 * Share of the remaining time that a request waits for one upstream where nothing better is known. Otherwise an unresponsive
 * upstream would use up the whole deadline.
 */
const maxTimeShare = 0.4;

/**
 * The timeout of a prompt is this factor times the expected time plus the margin, and at least the minimum. With shorter timeouts,
 * overloaded runners are treated as failed: their work is discarded and repeated elsewhere, which overloads others as well.
 */
const promptFactor = 3;
const promptMarginMilliseconds = 700;
const minPromptMilliseconds = 1_400;
/**
 * The timeout of a prompt is also at least this factor times the objective, since an answer of the first runner that is in time is
 * better than a late one of the second.
 */
const lateFactor = 1.2;
/** Lower bound of the expected time in the ratio of measured to expected times, in milliseconds. */
const minExpectedMilliseconds = 80;

/** What the timeout of a plain request depends on. */
export interface PlainTimeoutOptions {
    /** Expected time to the answer of the upstream that was chosen, in milliseconds; 0 if unknown. */
    readonly expectedMilliseconds: number;
    /** High quantile of the pool's answer times in milliseconds, where it is known. */
    readonly highMilliseconds: number | undefined;
    /** Time left until the objective, in milliseconds. */
    readonly objectiveMillisecondsLeft: number;
    /** Time left until the deadline, in milliseconds. */
    readonly millisecondsLeft: number;
    /** Whether new requests wait at the pool's upstreams. */
    readonly isFull: boolean;
    /** Retries left in the pool's budget, as a share of those that it allows. */
    readonly retryShareLeft: number;
}

/** What the timeout of a prompt depends on. */
export interface PromptTimeoutOptions {
    /** Expected time to the head of the answer, in milliseconds. */
    readonly expectedMilliseconds: number;
    /** Time in which the answer should start, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** High quantile of the ratios of measured to expected times of the pool's model, where it is known. */
    readonly highRatio: number | undefined;
    /** Time left until the deadline, in milliseconds. */
    readonly millisecondsLeft: number;
    /** Expected time until new requests begin at the pool, in milliseconds. */
    readonly waitMilliseconds: number;
}

/**
 * Returns the timeout of a plain request, in milliseconds: well above the usual answer times, so that only an upstream that differs
 * from the others is given up, and no earlier than needed for a second answer in time. While the pool is full, all of its upstreams are
 * slow and second tries would add to their load; while retries are scarce, the ones left are for requests that fail.
 * @param options - The options.
 */
export function getPlainHeadTimeout(options: PlainTimeoutOptions): number {
    const { expectedMilliseconds, highMilliseconds, objectiveMillisecondsLeft, millisecondsLeft } = options;
    const unlearned = Math.max(minUnlearnedMilliseconds, maxTimeShare * millisecondsLeft);
    if (highMilliseconds === undefined) {
        return unlearned;
    }
    const usual = Math.max(minPlainMilliseconds, minPlainFactor * Math.max(highMilliseconds, expectedMilliseconds));
    const latestInTime = objectiveMillisecondsLeft - secondAnswerFactor * highMilliseconds;
    const mustWait = options.isFull || options.retryShareLeft < minRetryShareLeft;
    return Math.max(usual, mustWait ? unlearned : Math.min(unlearned, latestInTime));
}

/**
 * Returns the timeout of a prompt, in milliseconds. When the whole pool is slower than expected, the timeout grows with it, as far as
 * time for another runner is left: waiting is better than discarding a prefill that all runners need long for.
 * @param options - The options.
 */
export function getPromptHeadTimeout(options: PromptTimeoutOptions): number {
    const { expectedMilliseconds, objectiveMilliseconds, highRatio, millisecondsLeft, waitMilliseconds } = options;
    const timeout = Math.max(
        minPromptMilliseconds,
        lateFactor * objectiveMilliseconds,
        promptFactor * expectedMilliseconds + promptMarginMilliseconds,
    );
    const learned = (highRatio ?? 0) * Math.max(minExpectedMilliseconds, expectedMilliseconds)
        + promptMarginMilliseconds
        + waitMilliseconds;
    return Math.max(timeout, Math.min(learned, maxTimeShare * millisecondsLeft));
}

/** Returns the ratio of a measured to an expected time to the head of an answer. */
export function getHeadRatio(milliseconds: number, expectedMilliseconds: number): number {
    return milliseconds / Math.max(minExpectedMilliseconds, expectedMilliseconds);
}
