/**
 * Joint counts of a low first score and the score of the second answer. A request that a cheap version answers badly is
 * often difficult for the expensive one too, so the expensive version's overall mean would be too optimistic.
 */
import { scoreSteps } from "./tally.js";

/** Unit in which scores are summed, so that sums stay integers. */
export const escalationSumUnit = 1000;

/**
 * Counts of one pair of versions in one class, as they are sent to other nodes. `values` repeats the triple of bin,
 * count and sum.
 */
export interface EncodedEscalation {
    readonly first: string;
    readonly second: string;
    readonly requestClass: string;
    readonly values: readonly number[];
}

/** Counts of one pair of versions in one class. */
export interface EscalationCounts {
    readonly first: string;
    readonly second: string;
    readonly requestClass: string;
    /** Number of escalations for each bin of the first score. */
    readonly counts: readonly number[];
    /** Sum of the second scores in thousandths, for each bin of the first score. */
    readonly sums: readonly number[];
}

interface PairCounts extends EscalationCounts {
    readonly counts: number[];
    readonly sums: number[];
}

/** Counts escalations by pair of versions, class and bin of the first score. */
export class Escalations {
    readonly #classes = new Map<string, Map<string, PairCounts>>();

    /** Decodes counts that `encode` returned. */
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
        pair.sums[bin] += Math.round(Math.min(1, Math.max(0, input.secondScore)) * escalationSumUnit);
    }

    /** Adds another node's counts of one class. */
    merge(other: Escalations, requestClass: string): void {
        for (const otherPair of other.#classes.get(requestClass)?.values() ?? []) {
            const pair = this.#getPair(otherPair.first, otherPair.second, requestClass);
            for (let bin = 0; bin <= scoreSteps; bin += 1) {
                pair.counts[bin] += otherPair.counts[bin];
                pair.sums[bin] += otherPair.sums[bin];
            }
        }
    }

    /** Returns the counts of a class by pair of versions. */
    get(requestClass: string): readonly EscalationCounts[] {
        return [...this.#classes.get(requestClass)?.values() ?? []];
    }

    /** Encodes the counts in a compact form. */
    encode(): readonly EncodedEscalation[] {
        const encoded: EncodedEscalation[] = [];
        for (const { first, second, requestClass, counts, sums } of this.#getAll()) {
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

    *#getAll(): Iterable<PairCounts> {
        for (const pairs of this.#classes.values()) {
            yield* pairs.values();
        }
    }

    #getPair(first: string, second: string, requestClass: string): PairCounts {
        let pairs = this.#classes.get(requestClass);
        if (pairs === undefined) {
            pairs = new Map();
            this.#classes.set(requestClass, pairs);
        }
        const key = `${first}>${second}`;
        let pair = pairs.get(key);
        if (pair === undefined) {
            const zeros = () => new Array<number>(scoreSteps + 1).fill(0);
            pair = { first, second, requestClass, counts: zeros(), sums: zeros() };
            pairs.set(key, pair);
        }
        return pair;
    }
}
