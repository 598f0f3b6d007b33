/**
 * How much difficult requests lower the second answer's score too, estimated from escalations: where the first answer
 * was rated low, the second one tends to be worse than its mean.
 */
import { type EscalationCounts, escalationSumUnit } from "./escalations.js";
import { scoreSteps } from "./tally.js";

/** Prior mean of the slope and its standard deviation. */
const priorSlope = 0.5;
const priorSlopeDeviation = 0.15;
/** Standard deviation of a second score around its expectation given the first score. */
export const secondScoreDeviation = 0.16;
/** Standard deviation of a pair's mean second score around the common regression line. */
const pairDeviation = 0.015;

/** Sums for a regression of second scores on first scores within pairs. */
export interface SlopeSums {
    readonly squares: number;
    readonly products: number;
}

/** How much the difficult requests of a class lower the second answer's score. */
export interface Difficulty {
    /** Loss of the second answer's score for each unit by which the first score was below its mean. */
    readonly slope: number;
    readonly slopeDeviation: number;
    /** The escalations of the class. */
    readonly pairs: readonly EscalationCounts[];
}

/** Estimate of a version's mean over all requests, derived from escalations. */
export interface PairedMean {
    readonly mean: number;
    readonly precision: number;
}

/**
 * Returns the sums for a slope estimate. Only differences within a pair of versions are counted, so that the slope does
 * not depend on the accuracy of the versions' means.
 */
export function getSlopeSums(pairs: readonly EscalationCounts[]): SlopeSums {
    let squares = 0;
    let products = 0;
    for (const { counts, sums } of pairs) {
        const { count, firstSum, secondSum } = sumPair(counts, sums);
        if (count < 2) {
            continue;
        }
        const firstMean = firstSum / count;
        const secondMean = secondSum / count;
        for (const [bin, binCount] of counts.entries()) {
            const distance = bin / scoreSteps - firstMean;
            squares += binCount * distance * distance;
            products += distance * (sums[bin] / escalationSumUnit - binCount * secondMean);
        }
    }
    return { squares, products };
}

/** Estimates the slope from the sums of all classes. */
export function estimateDifficulty(slopeSums: Iterable<SlopeSums>, pairs: readonly EscalationCounts[]): Difficulty {
    const priorSquares = (secondScoreDeviation / priorSlopeDeviation) ** 2;
    let squares = priorSquares;
    let products = priorSquares * priorSlope;
    for (const sums of slopeSums) {
        squares += sums.squares;
        products += sums.products;
    }
    const slope = Math.min(1, Math.max(0, products / squares));
    return { slope, slopeDeviation: secondScoreDeviation / Math.sqrt(squares), pairs };
}

/**
 * Estimates the means of the versions that answered second. Their ratings alone would bias these means downwards, since
 * escalated requests are difficult. With a correction for that difficulty, an expensive version need not be explored by
 * itself.
 * @param getFirstMean - Returns the mean of a version that answered first, or `undefined` if it is unknown.
 */
export function getPairedMeans(
    difficulty: Difficulty,
    getFirstMean: (version: string) => number | undefined,
): ReadonlyMap<string, PairedMean> {
    const means = new Map<string, PairedMean>();
    for (const { first, second, counts, sums } of difficulty.pairs) {
        const firstMean = getFirstMean(first);
        const { count, firstSum, secondSum } = sumPair(counts, sums);
        if (firstMean === undefined || count === 0) {
            continue;
        }
        const shortfall = firstMean - firstSum / count;
        const mean = secondSum / count + difficulty.slope * shortfall;
        const variance = secondScoreDeviation ** 2 / count + (difficulty.slopeDeviation * shortfall) ** 2
            + pairDeviation ** 2;
        means.set(second, combineByPrecision(means.get(second), { mean, precision: 1 / variance }));
    }
    return means;
}

/** Combines two means weighted by their precisions. */
export function combineByPrecision(one: PairedMean | undefined, other: PairedMean): PairedMean {
    if (one === undefined || one.precision === 0) {
        return other;
    }
    const precision = one.precision + other.precision;
    return { mean: (one.precision * one.mean + other.precision * other.mean) / precision, precision };
}

function sumPair(counts: readonly number[], sums: readonly number[]) {
    let count = 0;
    let firstSum = 0;
    let secondSum = 0;
    for (const [bin, binCount] of counts.entries()) {
        count += binCount;
        firstSum += binCount * bin / scoreSteps;
        secondSum += sums[bin] / escalationSumUnit;
    }
    return { count, firstSum, secondSum };
}
