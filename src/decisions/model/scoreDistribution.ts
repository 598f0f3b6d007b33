/**
 * The distribution of a version's scores: the counted scores, mixed with a normal distribution around the posterior
 * mean while there are few of them. The cost and quality of a cascade depend on its shape, also for a rarely used
 * version.
 */
import { getNormalProbability } from "./normal.js";
import type { QualityEstimate } from "./qualityEstimate.js";
import { scoreSteps } from "./tally.js";

/** Number of ratings that the assumed normal distribution counts as. */
export const priorDistributionWeight = 8;

/** Shares of the scores by bin, and their mean. */
export interface ScoreDistribution {
    readonly shares: readonly number[];
    readonly mean: number;
}

/** Cached distributions: plan creation uses each version in many cascades. */
const distributions = new WeakMap<QualityEstimate, ScoreDistribution>();

/** Returns the distribution of a version's scores in a class. */
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
