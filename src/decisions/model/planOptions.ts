/**
 * Creates all plan options of a class: each single version, and each cascade of two versions with its thresholds.
 */
import { type Difficulty, secondScoreDeviation } from "./difficulty.js";
import { type EscalationCounts, escalationSumUnit } from "./escalations.js";
import type { PlanOption } from "./plan.js";
import type { QualityEstimate } from "./qualityEstimate.js";
import { getScoreDistribution, priorDistributionWeight } from "./scoreDistribution.js";
import { scoreSteps } from "./tally.js";

/**
 * A bin with a smaller share of the scores gets no threshold of its own; the next threshold is practically the same.
 */
const minBinShare = 0.001;
/** Lowest bin that is considered as an accept threshold. */
const minThresholdBin = 8;
/** Inputs of plan creation other than evidence. */
export interface PlanSettings {
    /** Share of a single score's deviation from the mean that is due to the answer rather than to rating noise. */
    readonly ratingReliability: number;
    /** Share of answers whose rating arrives in time for the escalation decision. */
    readonly ratedShare: number;
    /** Price of rating one answer, including the cost of waiting for the rating. */
    readonly ratingPrice: number;
}

/** Creates the plan option of a single version. */
export function getSingleOption(estimate: QualityEstimate): PlanOption {
    return {
        steps: [{ version: estimate.version, acceptScore: undefined }],
        inputPrice: estimate.version.inputPrice,
        outputPrice: estimate.version.outputPrice,
        fixedPrice: 0,
        quality: estimate.mean,
        deviation: estimate.deviation,
    };
}

/**
 * Creates the cascades from one version to another, one for each threshold.
 * @param first - The version that answers first.
 * @param second - The version that answers the requests whose first answer was rejected.
 * @param difficulty - How much worse the second version does on such requests.
 */
export function getCascadeOptions(
    first: QualityEstimate,
    second: QualityEstimate,
    difficulty: Difficulty,
    settings: PlanSettings,
): readonly PlanOption[] {
    const pair = difficulty.pairs.find(({ first: one, second: other }) =>
        one === first.version.id && other === second.version.id
    );
    const options: PlanOption[] = [];
    const { shares, mean } = getScoreDistribution(first);
    let acceptedShare = 0;
    let acceptedScores = 0;
    let acceptedSum = 0;
    let acceptedSquares = 0;
    for (let bin = scoreSteps; bin >= minThresholdBin; bin -= 1) {
        const share = shares[bin];
        const quality = mean + settings.ratingReliability * (bin / scoreSteps - mean);
        acceptedShare += share;
        acceptedScores += share * bin / scoreSteps;
        acceptedSum += share * quality;
        acceptedSquares += share * quality * quality;
        if (share > minBinShare && acceptedShare < 1) {
            const rejectedScore = (mean - acceptedScores) / (1 - acceptedShare);
            const escalatedQuality = getEscalatedQuality(
                second,
                Math.max(0, mean - rejectedScore),
                difficulty,
                sumEscalationsBelow(pair, bin),
            );
            options.push(
                createCascade({
                    first,
                    second,
                    bin,
                    acceptedShare,
                    acceptedSum,
                    acceptedSquares,
                    escalatedQuality,
                    settings,
                }),
            );
        }
    }
    return options;
}

interface CascadeParts {
    readonly first: QualityEstimate;
    readonly second: QualityEstimate;
    readonly bin: number;
    readonly acceptedShare: number;
    readonly acceptedSum: number;
    readonly acceptedSquares: number;
    readonly escalatedQuality: EscalatedQuality;
    readonly settings: PlanSettings;
}

function createCascade(parts: CascadeParts): PlanOption {
    const { first, second, acceptedShare, acceptedSum, acceptedSquares, escalatedQuality, settings } = parts;
    const ratedShare = settings.ratedShare;
    const escalatedShare = 1 - ratedShare * acceptedShare;
    const rejectedShare = 1 - acceptedShare;
    const ratedQuality = acceptedSum + rejectedShare * escalatedQuality.quality;
    const qualityVariance = Math.max(
        0,
        acceptedSquares + rejectedShare * escalatedQuality.quality ** 2 - ratedQuality ** 2,
    );
    const count = first.scores.ratings + priorDistributionWeight;
    const variance = ratedShare ** 2 * (qualityVariance + first.scoreVariance / count) / count
        + rejectedShare ** 2 * escalatedQuality.variance + (1 - ratedShare) ** 2 * second.deviation ** 2;
    return {
        steps: [
            // The threshold lies half a bin lower, so that every score of the bin is accepted.
            { version: first.version, acceptScore: (parts.bin - 0.5) / scoreSteps },
            { version: second.version, acceptScore: undefined },
        ],
        inputPrice: first.version.inputPrice + escalatedShare * second.version.inputPrice,
        outputPrice: first.version.outputPrice + escalatedShare * second.version.outputPrice,
        fixedPrice: settings.ratingPrice,
        quality: ratedShare * ratedQuality + (1 - ratedShare) * second.mean,
        deviation: Math.sqrt(variance),
    };
}

/**
 * Estimates the second version's quality on requests where the first one scored `shortfall` below its mean. The
 * estimate follows either from the difficulty of the class, or from that corrected by the escalations of this pair of
 * versions, whichever has the smaller variance. The corrected estimate starts from the mean without escalations: the
 * second version's full mean already contains this pair's escalations, which would then be counted twice.
 */
function getEscalatedQuality(
    second: QualityEstimate,
    shortfall: number,
    difficulty: Difficulty,
    observed: EscalationSums,
): EscalatedQuality {
    const slopeVariance = (difficulty.slopeDeviation * shortfall) ** 2;
    const loss = difficulty.slope * shortfall;
    const expected = { quality: Math.max(0, second.mean - loss), variance: second.deviation ** 2 + slopeVariance };
    if (observed.count === 0) {
        return expected;
    }
    const directPrecision = 1 / (second.directDeviation ** 2 + slopeVariance);
    const observedPrecision = observed.count / secondScoreDeviation ** 2;
    const precision = directPrecision + observedPrecision;
    const direct = Math.max(0, second.directMean - loss);
    const corrected = {
        quality: (directPrecision * direct + observedPrecision * observed.sum / observed.count) / precision,
        variance: 1 / precision,
    };
    return corrected.variance < expected.variance ? corrected : expected;
}

interface EscalatedQuality {
    readonly quality: number;
    readonly variance: number;
}

/** Escalations of one pair whose first score was below a given bin. */
interface EscalationSums {
    readonly count: number;
    readonly sum: number;
}

function sumEscalationsBelow(pair: EscalationCounts | undefined, bin: number): EscalationSums {
    let count = 0;
    let sum = 0;
    for (let lower = 0; lower < bin && pair !== undefined; lower += 1) {
        count += pair.counts[lower];
        sum += pair.sums[lower] / escalationSumUnit;
    }
    return { count, sum };
}
