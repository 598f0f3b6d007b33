/**
 * Forms every plan worth weighing for a class: each single version, and each cascade of two with its thresholds.
 */
import { type Difficulty, secondScoreDeviation } from "./difficulty.js";
import { type EscalationCounts, escalationSumUnit } from "./escalations.js";
import type { PlanOption } from "./plan.js";
import type { QualityEstimate } from "./qualityEstimate.js";
import { getScoreDistribution, priorDistributionWeight } from "./scoreDistribution.js";
import { scoreSteps } from "./tally.js";

/** A threshold at a bin with a smaller share of the scores is as good as the next one. */
const minBinShare = 0.001;
/** Accept thresholds that are weighed, in bins. */
const minThresholdBin = 8;
/** What the forming of plans depends on besides evidence. */
export interface PlanSettings {
    /** Share of a single score's distance from the mean that is the answer's and not the rating's noise. */
    readonly ratingReliability: number;
    /** Share of answers for which a rating arrives in time to decide about escalation. */
    readonly ratedShare: number;
    /** Price of rating one answer; what the wait for the rating is worth is to be added. */
    readonly ratingPrice: number;
}

/** Forms the plan of one version alone. */
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
 * Forms the cascades from one version to another.
 * @param first - The version that answers first.
 * @param second - The version that answers what the first one didn't answer well.
 * @param difficulty - How much worse the second one does on such requests.
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
            // Half a bin lower, so that every score of the bin is accepted.
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
 * Gets the second version's quality on requests that the first one answered worse than its mean by `shortfall`: what
 * the hardness of the class lets expect, or that corrected by what this pair of versions has shown, whichever is surer.
 * What all escalations tell about the second version has this pair's in it, so that both together would count them twice.
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

/** Escalations of one pair whose first score was below a bin. */
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
