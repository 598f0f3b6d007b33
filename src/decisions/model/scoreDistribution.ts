/**
 * How the scores of a version spread: what was counted, mixed with a normal distribution about the posterior mean while
 * little was. The cost and quality of a cascade depend on that shape, also of a version that was hardly tried yet.
 */
import { getNormalProbability } from "./normal.js";
import type { QualityEstimate } from "./qualityEstimate.js";
import { scoreSteps } from "./tally.js";

/** How many ratings the assumed shape weighs. */
export const priorDistributionWeight = 8;

/** Shares of the scores by bin, with their mean. */
export interface ScoreDistribution {
    readonly shares: readonly number[];
    readonly mean: number;
}

/** A version stands in many cascades of the same forming of plans. */
const distributions = new WeakMap<QualityEstimate, ScoreDistribution>();

/** Gets the shape of a version's scores in a class. */
export function getScoreDistribution(estimate: QualityEstimate): ScoreDistribution {
    let distribution = distributions.get(estimate);
    if (distribution === undefined) {
        distribution = createDistribution(estimate);
        distributions.set(estimate, distribution);
    }
    return distribution;
}

function createDistribution({ scores, mean, deviation, scoreVariance }: QualityEstimate): ScoreDistribution {
    const scoreDeviation = Math.sqrt(scoreVariance + deviation ** 2);
    const total = scores.ratings + priorDistributionWeight;
    const shares: number[] = [];
    let sum = 0;
    let below = 0;
    for (let bin = 0; bin <= scoreSteps; bin += 1) {
        const next = bin === scoreSteps ? 1 : getNormalProbability(((bin + 0.5) / scoreSteps - mean) / scoreDeviation);
        const share = (scores.getBin(bin) + priorDistributionWeight * (next - below)) / total;
        below = next;
        shares.push(share);
        sum += share * bin / scoreSteps;
    }
    return { shares, mean: sum };
}
