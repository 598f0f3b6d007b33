/**
 * Settings of the selection of a runner, and their defaults.
 */

/** Settings of the selection of a runner. */
export interface PlacementOptions {
    /** Minimum number of runners of a version in the entry's region that the entry sends requests to. */
    readonly nearSubsetSize: number;
    /** Mean number of entries that send requests to each runner. With few entries, their subsets grow to reach it. */
    readonly entriesPerRunner: number;
    /** Number of runners of a version in other regions that the entry uses for spill-over. */
    readonly farSubsetSize: number;
    /** Number of randomly drawn runners that are compared for a request. */
    readonly choices: number;
    /** Number of runners with a cached prefix that are compared in addition. */
    readonly cachedChoices: number;
    /** Time constant of the exponential decay of a load report's weight. */
    readonly reportLifetimeMilliseconds: number;
    /** Network cost of a runner in another failure domain of the region. */
    readonly otherDomainMilliseconds: number;
    /** Network cost of a runner in another region. */
    readonly otherRegionMilliseconds: number;
    /** Expected wait in the entry's region above which runners of other regions are compared as well. */
    readonly spillOverMilliseconds: number;
    /** Consecutive failures after which a runner is ejected. */
    readonly ejectAfterFailures: number;
    /** Duration of the first ejection; each further one in a row is twice as long. */
    readonly ejectionMilliseconds: number;
    readonly maxEjectionMilliseconds: number;
    /** Time over which the share of requests of a runner rises to its full value after an ejection. */
    readonly rampMilliseconds: number;
    /** Maximum share of a pool that is ejected at a time. */
    readonly maxEjectedShare: number;
    /** Ratio to the pool's slowdown above which an answer counts as slow. */
    readonly outlierFactor: number;
    /** Consecutive slow answers after which a runner is ejected as an outlier. */
    readonly outlierAnswers: number;
    /** Maximum number of blocks in the prefix table. */
    readonly maxPrefixBlocks: number;
    /** Assumed capacity of a runner before its first report, in requests. */
    readonly defaultCapacity: number;
}

/** Default settings of the selection of a runner. */
export const defaultPlacementOptions: PlacementOptions = {
    nearSubsetSize: 24,
    entriesPerRunner: 12,
    farSubsetSize: 6,
    choices: 6,
    cachedChoices: 3,
    reportLifetimeMilliseconds: 3_000,
    otherDomainMilliseconds: 2,
    otherRegionMilliseconds: 80,
    spillOverMilliseconds: 400,
    ejectAfterFailures: 3,
    ejectionMilliseconds: 5_000,
    maxEjectionMilliseconds: 60_000,
    rampMilliseconds: 10_000,
    maxEjectedShare: 0.5,
    outlierFactor: 6,
    outlierAnswers: 8,
    maxPrefixBlocks: 65_536,
    defaultCapacity: 8,
};
