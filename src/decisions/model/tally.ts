/**
 * Counts of the observations of one version in one request class. All counts are integers, so that sums are exact in
 * any order of addition.
 */

/** Steps of the score histogram. Bin `n` holds the scores nearest to `n / scoreSteps`. */
export const scoreSteps = 20;

const sumUnit = 1000;
const binOffset = 5;
const slotCount = binOffset + scoreSteps + 1;

const emptySlots: readonly number[] = new Array<number>(slotCount).fill(0);

/** Integer counts of answers and ratings. */
export class Tally {
    readonly #slots: number[] = emptySlots.slice();
    /** Sums over the bins of the scores, maintained so that mean and variance need no iteration over the histogram. */
    #binSum = 0;
    #binSquareSum = 0;

    /** Decodes a tally that `encode` returned. */
    static decode(encoded: readonly number[]): Tally {
        const tally = new Tally();
        for (let index = 0; index + 1 < encoded.length; index += 2) {
            const slot = encoded[index];
            if (slot >= 0 && slot < slotCount) {
                tally.#slots[slot] = encoded[index + 1];
            }
            if (slot >= binOffset && slot < slotCount) {
                tally.#countBin(slot - binOffset, encoded[index + 1]);
            }
        }
        return tally;
    }

    /** Number of answers, including failed ones. */
    get answers(): number {
        return this.#slots[0];
    }

    /** Number of answers that failed. */
    get failed(): number {
        return this.#slots[1];
    }

    /** Number of answers that exceeded the latency target. */
    get slow(): number {
        return this.#slots[2];
    }

    /** Number of rated answers. */
    get ratings(): number {
        return this.#slots[3];
    }

    /** Sum of the scores. */
    get scoreSum(): number {
        return this.#slots[4] / sumUnit;
    }

    /** Sum of the scores, each rounded to its bin and measured in bins. */
    get binSum(): number {
        return this.#binSum;
    }

    /** Sum of the squares of the scores, each rounded to its bin and measured in bins. */
    get binSquareSum(): number {
        return this.#binSquareSum;
    }

    /**
     * Returns the number of scores in a bin.
     * @param bin - From 0 to `scoreSteps`.
     */
    getBin(bin: number): number {
        return this.#slots[binOffset + bin];
    }

    /** Counts an answer. */
    addAnswer(failed: boolean, slow: boolean): void {
        this.#slots[0] += 1;
        this.#slots[1] += failed ? 1 : 0;
        this.#slots[2] += slow ? 1 : 0;
    }

    /** Counts a rating. */
    addRating(score: number): void {
        const bounded = Math.min(1, Math.max(0, score));
        this.#slots[3] += 1;
        this.#slots[4] += Math.round(bounded * sumUnit);
        const bin = Math.round(bounded * scoreSteps);
        this.#slots[binOffset + bin] += 1;
        this.#countBin(bin, 1);
    }

    /**
     * Adds another tally.
     * @param other - The counts to add.
     * @param weight - Factor of each count. With 1 the sum stays exact.
     */
    add(other: Tally, weight = 1): void {
        const own = this.#slots;
        const added = other.#slots;
        for (let slot = 0; slot < slotCount; slot += 1) {
            own[slot] += weight * added[slot];
        }
        this.#binSum += weight * other.#binSum;
        this.#binSquareSum += weight * other.#binSquareSum;
    }

    /** Adds the weighted number of scores of each bin to `bins`. */
    addBinsTo(bins: Float64Array, weight: number): void {
        for (let bin = 0; bin <= scoreSteps; bin += 1) {
            bins[bin] += weight * this.#slots[binOffset + bin];
        }
    }

    /** Encodes the non-zero counts as pairs of slot and count, which keeps messages small. */
    encode(): readonly number[] {
        const encoded: number[] = [];
        for (let slot = 0; slot < slotCount; slot += 1) {
            if (this.#slots[slot] !== 0) {
                encoded.push(slot, this.#slots[slot]);
            }
        }
        return encoded;
    }

    #countBin(bin: number, count: number): void {
        this.#binSum += count * bin;
        this.#binSquareSum += count * bin * bin;
    }
}
