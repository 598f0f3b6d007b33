/**
 * Settings of admission, with the defaults that the measurements were made with.
 */

/** Settings of admission. */
export interface LimitOptions {
    /** Longest wait for a place. It is short: a caller that can't be served is better told so at once. */
    readonly queueMilliseconds: number;
    /** Part of the limit that workspaces below their fair share may use beyond it. */
    readonly burstShare: number;
    /** Part of the limit up to which a workspace above its share is let in, by priority from 0; the last holds on. */
    readonly priorityThresholds: readonly number[];
    /** Lowest limit, as a part of the capacity. */
    readonly leastLimitShare: number;
    /** Highest limit, as a part of the capacity. */
    readonly greatestLimitShare: number;
    /** Time over which answers are gathered before the limit moves. */
    readonly windowMilliseconds: number;
    /** Answers that a window needs. */
    readonly windowAnswers: number;
    /** How many times its usual value the time to the first token may reach before the limit falls. */
    readonly latencyTolerance: number;
    /** Part of failed or refused answers above which the limit falls. */
    readonly failureTolerance: number;
    /** Part of the limit by which it falls at most in a window. */
    readonly greatestFall: number;
    /** Part of the capacity by which the limit rises in a window. */
    readonly rise: number;
    /** Shortest `Retry-After`. */
    readonly leastRetryMilliseconds: number;
    /** Longest `Retry-After`. Usual clients pass over longer ones. */
    readonly longestRetryMilliseconds: number;
    /** Part of the throughput that callers are asked to come back to. */
    readonly returnShare: number;
    /** Callers that are remembered with the time they were told. */
    readonly rememberedCallers: number;
    /** Part of a workspace's requests that may be retries before they count as early. */
    readonly retryRatio: number;
}

/** The defaults. */
export const defaultLimitOptions: LimitOptions = {
    queueMilliseconds: 40,
    burstShare: 0.2,
    priorityThresholds: [1, 1, 0.95, 0.9],
    leastLimitShare: 0.4,
    greatestLimitShare: 1.1,
    windowMilliseconds: 1_000,
    windowAnswers: 10,
    latencyTolerance: 2,
    failureTolerance: 0.2,
    greatestFall: 0.2,
    rise: 0.05,
    leastRetryMilliseconds: 1_000,
    longestRetryMilliseconds: 60_000,
    returnShare: 0.5,
    rememberedCallers: 4_096,
    retryRatio: 0.2,
};
