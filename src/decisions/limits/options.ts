/**
 * Settings of admission, with the defaults that the measurements were made with.
 */

/** Settings of admission. */
export interface LimitOptions {
    /** Longest wait for a place. It is short: a caller that can't be served is better told so at once. */
    readonly maxQueueMilliseconds: number;
    /** Part of the limit that workspaces below their fair share may use beyond it. */
    readonly burstShare: number;
    /** Part of the limit up to which a workspace above its share is let in, by priority from 0; the last holds on. */
    readonly priorityThresholds: readonly number[];
    /** Lowest limit, as a part of the capacity. */
    readonly minLimitShare: number;
    /** Highest limit, as a part of the capacity. */
    readonly maxLimitShare: number;
    /** Time over which answers are gathered before the limit moves. */
    readonly windowMilliseconds: number;
    /** Answers that a window needs. */
    readonly minWindowAnswers: number;
    /** How many times its usual value the time to the first token may reach before the limit falls. */
    readonly latencyTolerance: number;
    /** Part of failed or refused answers above which the limit falls. */
    readonly failureTolerance: number;
    /** Part of the limit by which it falls at most in a window. */
    readonly maxDecrease: number;
    /** Part of the capacity by which the limit rises in a window. */
    readonly increase: number;
    /** Shortest `Retry-After`. */
    readonly minRetryMilliseconds: number;
    /** Longest `Retry-After`. Usual clients pass over longer ones. */
    readonly maxRetryMilliseconds: number;
    /** Part of the throughput that callers are asked to come back to. */
    readonly retryThroughputShare: number;
    /** Callers that are remembered with the time they were told. */
    readonly maxTrackedCallers: number;
    /** Part of a workspace's requests that may be retries before they count as early. */
    readonly retryRatio: number;
}

/** The defaults. */
export const defaultLimitOptions: LimitOptions = {
    maxQueueMilliseconds: 40,
    burstShare: 0.2,
    priorityThresholds: [1, 1, 0.95, 0.9],
    minLimitShare: 0.4,
    maxLimitShare: 1.1,
    windowMilliseconds: 1_000,
    minWindowAnswers: 10,
    latencyTolerance: 2,
    failureTolerance: 0.2,
    maxDecrease: 0.2,
    increase: 0.05,
    minRetryMilliseconds: 1_000,
    maxRetryMilliseconds: 60_000,
    retryThroughputShare: 0.5,
    maxTrackedCallers: 4_096,
    retryRatio: 0.2,
};
