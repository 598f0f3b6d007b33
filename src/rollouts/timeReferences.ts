/**
 * Remembers how long the old version took, for the time when the new version serves nearly everything.
 */
import { type EvidenceCounts, evidenceMilliseconds } from "./rolloutEvidence.js";
import { addTimeCounts, countAbove, joinLoads, splitByLoad, type TimeCounts } from "./timeCounts.js";

/** Minimum number of the old version's times for a comparison, of one kind of request by itself or of all kinds together. */
export const minReferenceTimes = 20;
/** Minimum number of the old version's times of one kind of request for a comparison of all kinds together. */
export const minKindReferenceTimes = 8;

/** What is measured of answers: the times to their heads, or the pauses between their parts. */
export type Measure = "times" | "pauses";

/** What is remembered of one kind of request under one load. */
interface Reference {
    /** The last sufficient distribution, or the largest one if none was sufficient. */
    readonly counts: TimeCounts;
    /** The first sufficient distribution, or the present one while none was sufficient. */
    readonly first: TimeCounts;
    /** The sum of successive evidence that is not sufficient yet. */
    readonly sum: TimeCounts;
}

const noReference: Reference = { counts: [], first: [], sum: [] };

/** Keeps distributions of the old version by measure, kind of request and load. */
export class TimeReferences {
    /** By measure and kind of request, then by load class. */
    readonly #references = {
        times: new Map<string, readonly Reference[]>(),
        pauses: new Map<string, readonly Reference[]>(),
    };
    /** Monotonic milliseconds at which evidence was last added to the sums. */
    #addedAt = Number.NEGATIVE_INFINITY;

    /**
     * Remembers the times of the old version. Where requests of a kind are rare, successive evidence is summed.
     * @param evidence - The counts of the last seconds.
     * @param now - Monotonic milliseconds.
     */
    update(evidence: EvidenceCounts, now: number): void {
        // Evidence that was added before has left the counts after this time, and no answer is added twice.
        const isAdded = now - this.#addedAt >= evidenceMilliseconds;
        if (isAdded) {
            this.#addedAt = now;
        }
        for (const [segment, { current }] of evidence) {
            for (const measure of ["times", "pauses"] as const) {
                const known = this.#references[measure].get(segment);
                const next = splitByLoad(current[measure]).map((added, loadClass) => {
                    const { counts, first, sum } = known?.[loadClass] ?? noReference;
                    const reference = {
                        counts: chooseReference(added, counts),
                        first: countAbove(first, -1) >= minReferenceTimes ? first : added,
                        sum,
                    };
                    return isAdded ? addToSum(reference, added) : reference;
                });
                this.#references[measure].set(segment, next);
            }
        }
    }

    /** Returns the distribution of a kind of request, or undefined if there were never any answers. */
    get(measure: Measure, segment: string): TimeCounts | undefined {
        const references = this.#references[measure].get(segment);
        return references === undefined ? undefined : joinLoads(references.map(({ counts }) => counts));
    }

    /** Returns the first sufficient distribution of a kind of request under each load, or undefined if there were never any answers. */
    getFirst(measure: Measure, segment: string): TimeCounts | undefined {
        const references = this.#references[measure].get(segment);
        return references === undefined ? undefined : joinLoads(references.map(({ first }) => first));
    }
}

/** Adds times to the sum. A sufficient sum replaces the distribution, and the next one starts empty. */
function addToSum({ counts, first, sum }: Reference, added: TimeCounts): Reference {
    const total = addTimeCounts(sum, added);
    const isSufficient = countAbove(total, -1) >= minReferenceTimes;
    return { counts: chooseReference(total, counts), first, sum: isSufficient ? [] : total };
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
