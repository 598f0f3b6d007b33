/**
 * How strictly roll-outs and settled versions are judged, worked out from what operators set.
 */

/** How roll-outs are judged. */
export interface RolloutPolicy {
    /** How far the mean rating of a version may lie below that of its reference. */
    readonly qualityMargin: number;
    /**
     * Upper bound of the probability that a version is halted during its roll-out that is worse than the baseline by
     * just the margins of the metrics. One that is as good as the baseline is halted far less often, see the
     * measurements.
     */
    readonly falseHaltProbability: number;
    /** Expected time between false halts of a settled version, for one that is worse than its past by the margins. */
    readonly falseHaltMilliseconds: number;
    /** How long after the end of its roll-out a version is watched more closely. Most trouble shows soon after a change. */
    readonly guardMilliseconds: number;
    /** Expected time between false halts within that time, as `falseHaltMilliseconds`. */
    readonly guardFalseHaltMilliseconds: number;
    /** Expected time between two times within it at which a version as above is held back without need. */
    readonly falseHoldMilliseconds: number;
    /** How long a rating may take before it is taken to be missing. */
    readonly ratingTimeoutMilliseconds: number;
    /** Callers exposed before the first rating is in, in the whole system. */
    readonly firstCallers: number;
    /** Ratings needed before a stage is left, unless its budget is spent. */
    readonly stageRatings: number;
    /** How long a stage lasts at least. */
    readonly stageMilliseconds: number;
    /** How far back a change of a settled version is looked for. What is older is what it is compared with. */
    readonly changeWindowMilliseconds: number;
}

/** The policy unless the configuration says otherwise. */
export const defaultRolloutPolicy: RolloutPolicy = {
    qualityMargin: 0.05,
    falseHaltProbability: 0.1,
    falseHaltMilliseconds: 3 * 86_400_000,
    guardMilliseconds: 3_600_000,
    guardFalseHaltMilliseconds: 12 * 3_600_000,
    falseHoldMilliseconds: 300_000,
    ratingTimeoutMilliseconds: 90_000,
    firstCallers: 8,
    stageRatings: 60,
    stageMilliseconds: 60_000,
    changeWindowMilliseconds: 600_000,
};

/** What operators set for the roll-outs of a model. */
export interface RolloutRules {
    readonly qualityMargin: number;
    readonly falseHaltRate: number;
    readonly missedRate: number;
    readonly stageMinimumSeconds: number;
}

/**
 * A version as good as its baseline is halted less than a tenth as often as the bound for one at the margins says
 * (docs/MEASUREMENTS.md, false halts); `false_halt_rate` is about the former.
 */
const boundPerFalseHaltRate = 10;
/** At a bound of 1 the test would halt before it has seen an answer. */
const maxFalseHaltProbability = 0.5;
/** The missed rate for which the default number of ratings is meant. */
const defaultMissedRate = 0.01;
/** With fewer ratings than this a stage says next to nothing. */
const minStageRatings = 20;

/**
 * Works out the policy for a model.
 * @param rules - What operators set.
 * @param changes - What differs from the default otherwise.
 */
export function createRolloutPolicy(rules: RolloutRules, changes: Partial<RolloutPolicy> = {}): RolloutPolicy {
    return {
        ...defaultRolloutPolicy,
        qualityMargin: rules.qualityMargin,
        falseHaltProbability: Math.min(maxFalseHaltProbability, boundPerFalseHaltRate * rules.falseHaltRate),
        stageRatings: getStageRatings(rules.missedRate),
        stageMilliseconds: rules.stageMinimumSeconds * 1000,
        ...changes,
    };
}

/** The chance that a bad version looks good falls exponentially with the number of its ratings. */
function getStageRatings(missedRate: number): number {
    const ratings = defaultRolloutPolicy.stageRatings * Math.log(missedRate) / Math.log(defaultMissedRate);
    return Math.max(minStageRatings, Math.ceil(ratings));
}
