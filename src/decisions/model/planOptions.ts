/**
 * Forms every plan worth weighing for a class: each single version, and each cascade of two with its thresholds.
 */
import { type EscalationCounts, escalationSumUnit } from "./escalations.js";
import type { Estimate } from "./estimate.js";
import type { Evidence } from "./evidence.js";
import type { PlanOption } from "./plan.js";
import { scoreSteps } from "./tally.js";

/** Without so many ratings of the first version the shape of its scores is unknown, and with it a cascade's cost. */
const minimumCascadeRatings = 12;
/** Accept thresholds that are weighed, in bins. */
const firstThreshold = 8;
/** Expected loss of the second answer for each unit that the first one fell short, and the shortfall that it weighs. */
const priorSlope = 0.5;
const priorSlopeShortfall = 1.5;
const priorSlopeCount = 10;
const singleScoreDeviation = 0.18;

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

/** How a class's hard requests spoil the second answer too. */
export interface Hardness {
    /** Loss of the second answer for each unit by which the first one fell short of its mean. */
    readonly slope: number;
    readonly slopeDeviation: number;
    /** What it was estimated from. */
    readonly pairs: readonly EscalationCounts[];
}

/**
 * Estimates the hardness of a class from all escalations in it, whatever the versions. A pair by itself is seen too
 * rarely: its cascade would look uncertain for hours.
 */
export function getHardness(evidence: Evidence, requestClass: string, estimates: readonly Estimate[]): Hardness {
    const means = new Map(estimates.map(estimate => [estimate.version.id, estimate.mean]));
    let shortfall = priorSlopeShortfall;
    let loss = priorSlope * priorSlopeShortfall;
    let count = priorSlopeCount;
    const pairs = evidence.getEscalations(requestClass);
    for (const { first, second, counts, sums } of pairs) {
        const firstMean = means.get(first);
        const secondMean = means.get(second);
        if (firstMean === undefined || secondMean === undefined) {
            continue;
        }
        for (const [bin, seen] of counts.entries()) {
            shortfall += seen * (firstMean - bin / scoreSteps);
            loss += seen * secondMean - sums[bin] / escalationSumUnit;
            count += seen;
        }
    }
    const positive = Math.max(priorSlopeShortfall, shortfall);
    const slope = Math.min(1, Math.max(0, loss / positive));
    return { slope, slopeDeviation: singleScoreDeviation * Math.sqrt(count) / positive, pairs };
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
    if (first.tally.ratings < minimumCascadeRatings) {
        return [];
    }
    const pair = hardness.pairs.find(({ first: one, second: other }) =>
        one === first.version.id && other === second.version.id
    );
    const options: PlanOption[] = [];
    let accepted = 0;
    let acceptedScores = 0;
    let acceptedSum = 0;
    let acceptedSquares = 0;
    for (let bin = scoreSteps; bin >= firstThreshold; bin -= 1) {
        const share = first.tally.getBin(bin) / first.tally.ratings;
        const quality = first.scoreMean + settings.ratingReliability * (bin / scoreSteps - first.scoreMean);
        accepted += share;
        acceptedScores += share * bin / scoreSteps;
        acceptedSum += share * quality;
        acceptedSquares += share * quality * quality;
        if (share > 0 && accepted < 1) {
            const rejectedScore = (first.scoreMean - acceptedScores) / (1 - accepted);
            const hard = getHardQuality(
                second,
                Math.max(0, first.scoreMean - rejectedScore),
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
    readonly hard: { readonly quality: number; readonly variance: number; };
    readonly settings: PlanSettings;
}

function formCascade(parts: CascadeParts): PlanOption {
    const { first, second, accepted, acceptedSum, acceptedSquares, hard, settings } = parts;
    const rated = settings.ratedShare;
    const escalated = 1 - rated * accepted;
    const rejected = 1 - accepted;
    const ratedQuality = acceptedSum + rejected * hard.quality;
    const spread = Math.max(0, acceptedSquares + rejected * hard.quality ** 2 - ratedQuality ** 2);
    const count = first.tally.ratings;
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
 * the hardness of the class lets expect, corrected by what this pair of versions has shown.
 */
function getHardQuality(second: Estimate, shortfall: number, hardness: Hardness, seen: SeenEscalations) {
    const expected = Math.max(0, second.mean - hardness.slope * shortfall);
    const expectedPrecision = 1 / (second.deviation ** 2 + (hardness.slopeDeviation * shortfall) ** 2);
    const seenPrecision = seen.count / singleScoreDeviation ** 2;
    const precision = expectedPrecision + seenPrecision;
    const seenMean = seen.count === 0 ? 0 : seen.sum / seen.count;
    return {
        quality: (expectedPrecision * expected + seenPrecision * seenMean) / precision,
        variance: 1 / precision,
    };
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
