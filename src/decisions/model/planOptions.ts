/**
 * Forms every plan worth weighing for a class: each single version, and each cascade of two with its thresholds.
 */
import type { Estimate } from "./estimate.js";
import type { Evidence } from "./evidence.js";
import type { PlanOption } from "./plan.js";
import { scoreSteps } from "./tally.js";

/** Without so many ratings of the first version the shape of its scores is unknown, and with it a cascade's cost. */
const minimumCascadeRatings = 12;
/** Accept thresholds that are weighed, in bins. */
const firstThreshold = 8;
/** How much lower the second answer is expected to be rated on requests that the first one answered badly. */
const hardRequestPenalty = 0.03;
/** Weight of that expectation, in escalations seen. */
const hardRequestWeight = 8;

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
 */
export function getCascadeOptions(
    evidence: Evidence,
    requestClass: string,
    first: Estimate,
    second: Estimate,
    settings: PlanSettings,
): readonly PlanOption[] {
    if (first.tally.ratings < minimumCascadeRatings) {
        return [];
    }
    const escalations = evidence.getEscalations(first.version.id, second.version.id, requestClass);
    const options: PlanOption[] = [];
    let accepted = 0;
    let acceptedSum = 0;
    let acceptedSquares = 0;
    for (let bin = scoreSteps; bin >= firstThreshold; bin -= 1) {
        const share = first.tally.getBin(bin) / first.tally.ratings;
        const quality = first.scoreMean + settings.ratingReliability * (bin / scoreSteps - first.scoreMean);
        accepted += share;
        acceptedSum += share * quality;
        acceptedSquares += share * quality * quality;
        if (share > 0) {
            const hard = getHardQuality(escalations, bin, second);
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

/** Gets the second version's quality on requests whose first answer was scored below a bin. */
function getHardQuality(
    escalations: readonly { count: number; sum: number; }[],
    bin: number,
    second: Estimate,
): { quality: number; variance: number; } {
    let count = hardRequestWeight;
    let sum = hardRequestWeight * (second.mean - hardRequestPenalty);
    for (let lower = 0; lower < bin && lower < escalations.length; lower += 1) {
        count += escalations[lower].count;
        sum += escalations[lower].sum;
    }
    return { quality: sum / count, variance: second.scoreVariance / count + second.deviation ** 2 };
}
