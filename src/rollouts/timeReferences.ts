/**
 * Remembers how long the old version took, for the time when the new version serves nearly everything.
 */
import type { EvidenceCounts } from "./rolloutEvidence.js";
import { countAbove, type TimeCounts } from "./timeCounts.js";

/** Minimum number of the old version's times for a comparison, of one kind of request by itself or of all kinds together. */
export const minReferenceTimes = 20;
/** Minimum number of the old version's times of one kind of request for a comparison of all kinds together. */
export const minKindReferenceTimes = 8;

/** What is measured of answers: the times to their heads, or the pauses between their parts. */
export type Measure = "times" | "pauses";

/** Keeps distributions of the old version by measure and kind of request: the last sufficient ones, or the largest. */
export class TimeReferences {
    readonly #counts = { times: new Map<string, TimeCounts>(), pauses: new Map<string, TimeCounts>() };

    /** Remembers the times of all kinds of request of which enough are known now, or more than before. */
    update(evidence: EvidenceCounts): void {
        for (const [segment, { current }] of evidence) {
            for (const measure of ["times", "pauses"] as const) {
                const reference = chooseReference(current[measure], this.#counts[measure].get(segment));
                this.#counts[measure].set(segment, reference);
            }
        }
    }

    /** Returns the distribution of a kind of request, or undefined if there were never any answers. */
    get(measure: Measure, segment: string): TimeCounts | undefined {
        return this.#counts[measure].get(segment);
    }
}

/**
 * Returns the distribution with which a kind of request is compared.
 * @param current - The old version's present distribution.
 * @param earlier - An earlier one.
 */
export function chooseReference(current: TimeCounts, earlier: TimeCounts = []): TimeCounts {
    const count = countAbove(current, -1);
    return count >= minReferenceTimes || count >= countAbove(earlier, -1) ? current : earlier;
}
