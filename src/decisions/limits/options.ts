/**
 * Settings of admission control, and their defaults.
 */

/** Settings of admission control. */
export interface LimitOptions {
    /** Maximum wait for a slot. It is short, since a caller that cannot be served should be refused soon and can go elsewhere. */
    readonly maxQueueMilliseconds: number;
    /** Share of the limit by which workspaces below their fair share may exceed it. */
    readonly burstShare: number;
    /**
     * Share of the limit up to which requests of a workspace above its share are admitted, by priority from 0. The last value applies to
     * all further priorities.
     */
    readonly priorityThresholds: readonly number[];
    /** Minimum limit, as a share of the capacity. */
    readonly minLimitShare: number;
    /** Maximum limit, as a share of the capacity. */
    readonly maxLimitShare: number;
    /** Length of the window of answers after which the limit is adjusted. */
    readonly windowMilliseconds: number;
    /** Minimum number of answers in a window. */
    readonly minWindowAnswers: number;
    /** Ratio of the time to first token to its usual value above which the limit is lowered. */
    readonly latencyTolerance: number;
    /** Share of failed or refused answers above which the limit is lowered. */
    readonly failureTolerance: number;
    /** Maximum decrease of the limit in a window, as a share of the limit. */
    readonly maxDecrease: number;
    /** Increase of the limit in a window, as a share of the capacity. */
    readonly increase: number;
    /** Minimum `Retry-After`. */
    readonly minRetryMilliseconds: number;
    /** Maximum `Retry-After`. Common clients ignore longer ones. */
    readonly maxRetryMilliseconds: number;
    /** Share of the throughput that is scheduled for retries of refused callers. */
    readonly retryThroughputShare: number;
    /** Maximum number of refused callers whose retry time is stored. */
    readonly maxTrackedCallers: number;
    /** Share of a workspace's requests that may be declared retries without counting as early. */
    readonly retryRatio: number;
}

/** Default settings of admission control. */
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
