/**
 * Counts of what was seen of one version in one class of request. All counts are integers, so that sums are exact in
 * whatever order they are formed.
 */

/** Steps of the score histogram; bin `n` holds scores nearest to `n / scoreSteps`. */
export const scoreSteps = 20;

const sumUnit = 1000;
const binOffset = 5;
const slotCount = binOffset + scoreSteps + 1;

const emptySlots: readonly number[] = new Array<number>(slotCount).fill(0);

/** Integer counts of answers and ratings. */
export class Tally {
    readonly #slots: number[] = emptySlots.slice();

    /** Reads a tally back from what `encode` returned. */
    static decode(encoded: readonly number[]): Tally {
        const tally = new Tally();
        for (let index = 0; index + 1 < encoded.length; index += 2) {
            const slot = encoded[index];
            if (slot >= 0 && slot < slotCount) {
                tally.#slots[slot] = encoded[index + 1];
            }
        }
        return tally;
    }

    /** Number of answers, failed ones included. */
    get answers(): number {
        return this.#slots[0];
    }

    /** Number of answers that failed. */
    get failed(): number {
        return this.#slots[1];
    }

    /** Number of answers over the latency target. */
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

    /**
     * Gets the number of scores in a bin.
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
        this.#slots[binOffset + Math.round(bounded * scoreSteps)] += 1;
    }

    /**
     * Adds another tally.
     * @param other - The counts to add.
     * @param weight - What each count is multiplied by; 1 keeps the sum exact.
     */
    add(other: Tally, weight = 1): void {
        const own = this.#slots;
        const added = other.#slots;
        for (let slot = 0; slot < slotCount; slot += 1) {
            own[slot] += weight * added[slot];
        }
    }

    /** Returns the non-zero counts as pairs of slot and count, for a compact message. */
    encode(): readonly number[] {
        const encoded: number[] = [];
        for (let slot = 0; slot < slotCount; slot += 1) {
            if (this.#slots[slot] !== 0) {
                encoded.push(slot, this.#slots[slot]);
            }
        }
        return encoded;
    }
}
