/** Weighted sums of scores, with and without a histogram. */
import { scoreSteps, type Tally } from "./tally.js";

/** The sums from which mean and variance of scores are computed. `Tally` implements it too. */
export interface ScoreSums {
    readonly ratings: number;
    readonly scoreSum: number;
    /** Sums of the scores and of their squares, each score rounded to its bin and measured in bins. */
    readonly binSum: number;
    readonly binSquareSum: number;
}

/** Accumulates weighted sums of scores. */
export class Moments implements ScoreSums {
    ratings = 0;
    scoreSum = 0;
    binSum = 0;
    binSquareSum = 0;

    /** Adds the weighted sums of some scores. */
    add(sums: ScoreSums, weight: number): void {
        this.ratings += weight * sums.ratings;
        this.scoreSum += weight * sums.scoreSum;
        this.binSum += weight * sums.binSum;
        this.binSquareSum += weight * sums.binSquareSum;
    }
}

/** Accumulates weighted scores with their histogram. */
export class WeightedScores extends Moments {
    /** A typed array, which makes summing thousands of buckets several times faster. */
    readonly #bins = new Float64Array(scoreSteps + 1);

    /** Adds the weighted scores of a tally. */
    addTally(tally: Tally, weight: number): void {
        this.add(tally, weight);
        tally.addBinsTo(this.#bins, weight);
    }

    /** Returns the weight of the scores in a bin, from 0 to `scoreSteps`. */
    getBin(bin: number): number {
        return this.#bins[bin];
    }
}
