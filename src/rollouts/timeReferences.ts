/**
 * Remembers how long the old version took, for the time when the new version serves nearly everything.
 */
import type { EvidenceCounts } from "./rolloutEvidence.js";
import { countAbove, type TimeCounts } from "./timeCounts.js";

/** Minimum number of the old version's times of one kind of request for a comparison. */
export const minReferenceTimes = 20;

/** What is measured of answers: the times to their heads, or the pauses between their parts. */
export type Measure = "times" | "pauses";

/** Keeps the last sufficient distributions of the old version by measure and kind of request. */
export class TimeReferences {
    readonly #counts = { times: new Map<string, TimeCounts>(), pauses: new Map<string, TimeCounts>() };

    /** Remembers the times of all kinds of request of which enough are known now. */
    update(evidence: EvidenceCounts): void {
        for (const [segment, { current }] of evidence) {
            for (const measure of ["times", "pauses"] as const) {
                if (countAbove(current[measure], -1) >= minReferenceTimes) {
                    this.#counts[measure].set(segment, current[measure]);
                }
            }
        }
    }

    /** Returns the distribution of a kind of request, or undefined if there were never enough answers. */
    get(measure: Measure, segment: string): TimeCounts | undefined {
        return this.#counts[measure].get(segment);
    }
}
