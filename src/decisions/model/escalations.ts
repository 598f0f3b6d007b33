/**
 * Joint counts of a low first score and the score of the answer that followed. A request that a cheap version answers
 * badly is often hard for the dear one too, so the dear version's overall mean would promise too much.
 */
import { scoreSteps } from "./tally.js";

const sumUnit = 1000;

/** Counts of one pair of versions in one class as they travel; `values` are bin, count and sum in turn. */
export interface EncodedEscalation {
    readonly first: string;
    readonly second: string;
    readonly requestClass: string;
    readonly values: readonly number[];
}

interface PairCounts {
    readonly first: string;
    readonly second: string;
    readonly requestClass: string;
    readonly counts: number[];
    readonly sums: number[];
}

/** Counts escalations by pair of versions, class and bin of the first score. */
export class Escalations {
    readonly #pairs = new Map<string, PairCounts>();

    /** Reads the counts back from what `encode` returned. */
    static decode(encoded: readonly EncodedEscalation[]): Escalations {
        const escalations = new Escalations();
        for (const { first, second, requestClass, values } of encoded) {
            const pair = escalations.#getPair(first, second, requestClass);
            for (let index = 0; index + 2 < values.length; index += 3) {
                pair.counts[values[index]] = values[index + 1];
                pair.sums[values[index]] = values[index + 2];
            }
        }
        return escalations;
    }

    /** Counts one escalation. */
    add(
        input: { first: string; second: string; requestClass: string; firstScore: number; secondScore: number; },
    ): void {
        const pair = this.#getPair(input.first, input.second, input.requestClass);
        const bin = Math.round(Math.min(1, Math.max(0, input.firstScore)) * scoreSteps);
        pair.counts[bin] += 1;
        pair.sums[bin] += Math.round(Math.min(1, Math.max(0, input.secondScore)) * sumUnit);
    }

    /** Adds another node's counts of one pair and class. */
    merge(other: Escalations, first: string, second: string, requestClass: string): void {
        const theirs = other.#pairs.get(getKey(first, second, requestClass));
        if (theirs === undefined) {
            return;
        }
        const pair = this.#getPair(first, second, requestClass);
        for (let bin = 0; bin <= scoreSteps; bin += 1) {
            pair.counts[bin] += theirs.counts[bin];
            pair.sums[bin] += theirs.sums[bin];
        }
    }

    /** Gets, for each bin of the first score, the count and the sum of the second scores; empty for an unseen pair. */
    get(first: string, second: string, requestClass: string): readonly { count: number; sum: number; }[] {
        const pair = this.#pairs.get(getKey(first, second, requestClass));
        return pair === undefined ? [] : pair.counts.map((count, bin) => ({ count, sum: pair.sums[bin] / sumUnit }));
    }

    /** Returns the counts in a compact form. */
    encode(): readonly EncodedEscalation[] {
        const encoded: EncodedEscalation[] = [];
        for (const { first, second, requestClass, counts, sums } of this.#pairs.values()) {
            const values: number[] = [];
            for (let bin = 0; bin <= scoreSteps; bin += 1) {
                if (counts[bin] > 0) {
                    values.push(bin, counts[bin], sums[bin]);
                }
            }
            encoded.push({ first, second, requestClass, values });
        }
        return encoded;
    }

    #getPair(first: string, second: string, requestClass: string): PairCounts {
        const key = getKey(first, second, requestClass);
        let pair = this.#pairs.get(key);
        if (pair === undefined) {
            const zeros = () => new Array<number>(scoreSteps + 1).fill(0);
            pair = { first, second, requestClass, counts: zeros(), sums: zeros() };
            this.#pairs.set(key, pair);
        }
        return pair;
    }
}

function getKey(first: string, second: string, requestClass: string): string {
    return `${first}>${second}/${requestClass}`;
}
