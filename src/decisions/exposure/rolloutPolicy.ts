/**
 * How strictly roll-outs and stable versions are evaluated, computed from the operator's rules.
 */

/** The parameters by which roll-outs and stable versions are evaluated. */
export interface RolloutPolicy {
    /** Margin by which the mean rating of a version may be below that of its reference. */
    readonly qualityMargin: number;
    /**
     * Upper bound of the probability that a roll-out halts a version which is worse than the baseline by exactly the
     * margins of the metrics. A version as good as the baseline is halted far less often, see the measurements.
     */
    readonly falseHaltProbability: number;
    /** Expected time between false halts of a stable version that is worse than its own past by exactly the margins. */
    readonly falseHaltMilliseconds: number;
    /**
     * How long a version is watched more closely after the end of its roll-out, since most faults show soon after it.
     */
    readonly guardMilliseconds: number;
    /** Expected time between false halts within that time, defined as `falseHaltMilliseconds` is. */
    readonly guardFalseHaltMilliseconds: number;
    /** Expected time, within that time, between two occasions on which such a version is held back unnecessarily. */
    readonly falseHoldMilliseconds: number;
    /** Timeout after which a rating counts as missing. */
    readonly ratingTimeoutMilliseconds: number;
    /** Number of callers in the whole system that are exposed before the first rating arrives. */
    readonly firstCallers: number;
    /** Minimum number of ratings before a stage ends, unless its budget is spent. */
    readonly stageRatings: number;
    /** Minimum duration of a stage. */
    readonly stageMilliseconds: number;
    /** Time window in which a change of a stable version is searched for. Older counts are the reference. */
    readonly changeWindowMilliseconds: number;
}

/** The default policy. */
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

/** The operator's settings for the roll-outs of a model. */
export interface RolloutRules {
    readonly qualityMargin: number;
    readonly falseHaltRate: number;
    readonly missedRate: number;
    readonly stageMinimumSeconds: number;
}

/**
 * Ratio of the halt probability's bound, which applies to a version at the margins, to `false_halt_rate`, which applies
 * to a version as good as its baseline. Such a version is halted less than a tenth as often as the bound says
 * (docs/MEASUREMENTS.md, false halts).
 */
const boundPerFalseHaltRate = 10;
/** With a bound of 1 the test would halt a roll-out before the first answer. */
const maxFalseHaltProbability = 0.5;
/** The missed rate that the default number of ratings corresponds to. */
const defaultMissedRate = 0.01;
/** With fewer ratings than this a stage gives almost no information. */
const minStageRatings = 20;

/**
 * Creates the policy of a model.
 * @param rules - The operator's settings.
 * @param changes - Other deviations from the default policy.
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

/** The probability that a bad version looks good decreases exponentially with the number of its ratings. */
function getStageRatings(missedRate: number): number {
    const ratings = defaultRolloutPolicy.stageRatings * Math.log(missedRate) / Math.log(defaultMissedRate);
    return Math.max(minStageRatings, Math.ceil(ratings));
}
