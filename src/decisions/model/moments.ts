/** Weighted sums of scores, with and without their histogram. */
import { scoreSteps, type Tally } from "./tally.js";

/** What mean and variance of scores are worked out from; a `Tally` has it, too. */
export interface ScoreSums {
    readonly ratings: number;
    readonly scoreSum: number;
    /** Sums of the scores and their squares, each rounded to its bin and counted in bins. */
    readonly binSum: number;
    readonly binSquareSum: number;
}

/** Adds up sums of scores. */
export class Moments implements ScoreSums {
    ratings = 0;
    scoreSum = 0;
    binSum = 0;
    binSquareSum = 0;

    /** Adds scores, each weighing as told. */
    add(sums: ScoreSums, weight: number): void {
        this.ratings += weight * sums.ratings;
        this.scoreSum += weight * sums.scoreSum;
        this.binSum += weight * sums.binSum;
        this.binSquareSum += weight * sums.binSquareSum;
    }
}

/** Adds up scores with their histogram. */
export class WeightedScores extends Moments {
    /** Of one element kind from the start, which makes adding up thousands of buckets several times faster. */
    readonly #bins = new Float64Array(scoreSteps + 1);

    /** Adds the scores of a tally, each weighing as told. */
    addTally(tally: Tally, weight: number): void {
        this.add(tally, weight);
        tally.addBinsTo(this.#bins, weight);
    }

    /** Gets the weight of the scores in a bin, from 0 to `scoreSteps`. */
    getBin(bin: number): number {
        return this.#bins[bin];
    }
}
