/**
 * Forms every plan worth weighing for a class: each single version, and each cascade of two with its thresholds.
 */
import { type EscalationCounts, escalationSumUnit } from "./escalations.js";
import type { Estimate } from "./estimate.js";
import { type Hardness, secondScoreDeviation } from "./hardness.js";
import type { PlanOption } from "./plan.js";
import { getScoreShape, shapeWeight } from "./scoreShape.js";
import { scoreSteps } from "./tally.js";

/** A threshold at a bin with a smaller share of the scores is as good as the next one. */
const minimumShare = 0.001;
/** Accept thresholds that are weighed, in bins. */
const firstThreshold = 8;
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
export function getSingleOption(estimate: Estimate): PlanOption {
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
 * @param hardness - How much worse the second one does on such requests.
 */
export function getCascadeOptions(
    first: Estimate,
    second: Estimate,
    hardness: Hardness,
    settings: PlanSettings,
): readonly PlanOption[] {
    const pair = hardness.pairs.find(({ first: one, second: other }) =>
        one === first.version.id && other === second.version.id
    );
    const options: PlanOption[] = [];
    const { shares, mean } = getScoreShape(first);
    let accepted = 0;
    let acceptedScores = 0;
    let acceptedSum = 0;
    let acceptedSquares = 0;
    for (let bin = scoreSteps; bin >= firstThreshold; bin -= 1) {
        const share = shares[bin];
        const quality = mean + settings.ratingReliability * (bin / scoreSteps - mean);
        accepted += share;
        acceptedScores += share * bin / scoreSteps;
        acceptedSum += share * quality;
        acceptedSquares += share * quality * quality;
        if (share > minimumShare && accepted < 1) {
            const rejectedScore = (mean - acceptedScores) / (1 - accepted);
            const hard = getHardQuality(
                second,
                Math.max(0, mean - rejectedScore),
                hardness,
                getSeenBelow(pair, bin),
            );
            options.push(formCascade({ first, second, bin, accepted, acceptedSum, acceptedSquares, hard, settings }));
        }
    }
    return options;
}

interface CascadeParts {
    readonly first: Estimate;
    readonly second: Estimate;
    readonly bin: number;
    readonly accepted: number;
    readonly acceptedSum: number;
    readonly acceptedSquares: number;
    readonly hard: HardQuality;
    readonly settings: PlanSettings;
}

function formCascade(parts: CascadeParts): PlanOption {
    const { first, second, accepted, acceptedSum, acceptedSquares, hard, settings } = parts;
    const rated = settings.ratedShare;
    const escalated = 1 - rated * accepted;
    const rejected = 1 - accepted;
    const ratedQuality = acceptedSum + rejected * hard.quality;
    const spread = Math.max(0, acceptedSquares + rejected * hard.quality ** 2 - ratedQuality ** 2);
    const count = first.scores.ratings + shapeWeight;
    const variance = rated ** 2 * (spread + first.scoreVariance / count) / count
        + rejected ** 2 * hard.variance + (1 - rated) ** 2 * second.deviation ** 2;
    return {
        steps: [
            // Half a bin lower, so that every score of the bin is accepted.
            { version: first.version, acceptScore: (parts.bin - 0.5) / scoreSteps },
            { version: second.version, acceptScore: undefined },
        ],
        inputPrice: first.version.inputPrice + escalated * second.version.inputPrice,
        outputPrice: first.version.outputPrice + escalated * second.version.outputPrice,
        fixedPrice: settings.ratingPrice,
        quality: rated * ratedQuality + (1 - rated) * second.mean,
        deviation: Math.sqrt(variance),
    };
}

/**
 * Gets the second version's quality on requests that the first one answered worse than its mean by `shortfall`: what
 * the hardness of the class lets expect, or that corrected by what this pair of versions has shown, whichever is surer.
 * What all escalations tell about the second version has this pair's in it, so that both together would count them twice.
 */
function getHardQuality(second: Estimate, shortfall: number, hardness: Hardness, seen: SeenEscalations): HardQuality {
    const lineVariance = (hardness.slopeDeviation * shortfall) ** 2;
    const loss = hardness.slope * shortfall;
    const expected = { quality: Math.max(0, second.mean - loss), variance: second.deviation ** 2 + lineVariance };
    if (seen.count === 0) {
        return expected;
    }
    const directPrecision = 1 / (second.directDeviation ** 2 + lineVariance);
    const seenPrecision = seen.count / secondScoreDeviation ** 2;
    const precision = directPrecision + seenPrecision;
    const direct = Math.max(0, second.directMean - loss);
    const corrected = {
        quality: (directPrecision * direct + seenPrecision * seen.sum / seen.count) / precision,
        variance: 1 / precision,
    };
    return corrected.variance < expected.variance ? corrected : expected;
}

interface HardQuality {
    readonly quality: number;
    readonly variance: number;
}

/** Escalations of one pair whose first score was below a bin. */
interface SeenEscalations {
    readonly count: number;
    readonly sum: number;
}

function getSeenBelow(pair: EscalationCounts | undefined, bin: number): SeenEscalations {
    let count = 0;
    let sum = 0;
    for (let lower = 0; lower < bin && pair !== undefined; lower += 1) {
        count += pair.counts[lower];
        sum += pair.sums[lower] / escalationSumUnit;
    }
    return { count, sum };
}
