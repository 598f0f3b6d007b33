/**
 * Settings of the choice of a runner, with the defaults that the measurements were made with.
 */

/** Settings of the choice of a runner. */
export interface PlacementOptions {
    /** Runners of a version in the entry's region that it talks to, at least. */
    readonly nearSubsetSize: number;
    /** Entries that each runner is to be talked to by, in the mean: with few entries, subsets grow. */
    readonly entriesPerRunner: number;
    /** Runners of a version in other regions that it keeps for spill-over. */
    readonly farSubsetSize: number;
    /** How many runners are compared for a request. */
    readonly choices: number;
    /** How many runners with a cached prefix are compared besides. */
    readonly cachedChoices: number;
    /** Time constant after which a load report counts for little. */
    readonly reportLifetimeMilliseconds: number;
    /** Network cost of a runner in another failure domain of the region. */
    readonly otherDomainMilliseconds: number;
    /** Network cost of a runner in another region. */
    readonly otherRegionMilliseconds: number;
    /** Expected wait in the region above which other regions are considered. */
    readonly spillOverMilliseconds: number;
    /** Failures in a row after which a runner is ejected. */
    readonly ejectAfterFailures: number;
    /** First ejection; each further one in a row is twice as long. */
    readonly ejectionMilliseconds: number;
    readonly maxEjectionMilliseconds: number;
    /** Time over which a returning runner goes from little work to its full part. */
    readonly rampMilliseconds: number;
    /** Greatest part of a pool that may be ejected at a time. */
    readonly maxEjectedShare: number;
    /** How many times slower than its pool a runner must be, again and again, to be ejected. */
    readonly outlierFactor: number;
    /** Slow answers in a row that make an outlier. */
    readonly outlierAnswers: number;
    /** Blocks that the table of prefixes keeps. */
    readonly maxPrefixBlocks: number;
    /** Capacity of a runner that has not reported yet, in requests. */
    readonly defaultCapacity: number;
}

/** The defaults. */
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
