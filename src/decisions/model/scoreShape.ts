/**
 * How the scores of a version spread: what was counted, mixed with a normal distribution about the posterior mean while
 * little was. The cost and quality of a cascade depend on that shape, also of a version that was hardly tried yet.
 */
import type { Estimate } from "./estimate.js";
import { getNormalProbability } from "./normal.js";
import { scoreSteps } from "./tally.js";

/** How many ratings the assumed shape weighs. */
export const shapeWeight = 8;

/** Shares of the scores by bin, with their mean. */
export interface ScoreShape {
    readonly shares: readonly number[];
    readonly mean: number;
}

/** A version stands in many cascades of the same forming of plans. */
const shapes = new WeakMap<Estimate, ScoreShape>();

/** Gets the shape of a version's scores in a class. */
export function getScoreShape(estimate: Estimate): ScoreShape {
    let shape = shapes.get(estimate);
    if (shape === undefined) {
        shape = formShape(estimate);
        shapes.set(estimate, shape);
    }
    return shape;
}

function formShape({ scores, mean, deviation, scoreVariance }: Estimate): ScoreShape {
    const spread = Math.sqrt(scoreVariance + deviation ** 2);
    const total = scores.ratings + shapeWeight;
    const shares: number[] = [];
    let sum = 0;
    let below = 0;
    for (let bin = 0; bin <= scoreSteps; bin += 1) {
        const next = bin === scoreSteps ? 1 : getNormalProbability(((bin + 0.5) / scoreSteps - mean) / spread);
        const share = (scores.getBin(bin) + shapeWeight * (next - below)) / total;
        below = next;
        shares.push(share);
        sum += share * bin / scoreSteps;
    }
    return { shares, mean: sum };
}
