/**
 * Remembers how long the old version took, for the time when the new version serves nearly everything.
 */
import { type AnswerShare, compareShares, type IncreaseBounds } from "./compareShares.js";
import { type EvidenceCounts, evidenceMilliseconds, type VersionCounts } from "./rolloutEvidence.js";
import { addShares, countSlow, noAnswers } from "./slowAnswers.js";
import { addTimeCounts, countAbove, joinLoads, splitByLoad, type TimeCounts } from "./timeCounts.js";

/** Minimum number of the old version's times for a comparison, of one kind of request by itself or of all kinds together. */
export const minReferenceTimes = 20;
/** Minimum number of the old version's times of one kind of request for a comparison of all kinds together. */
export const minKindReferenceTimes = 8;

/** What is measured of answers: the times to their heads, or the pauses between their parts. */
export type Measure = "times" | "pauses";

const measures: readonly Measure[] = ["times", "pauses"];

/** Returns the lower bounds that belong to a measure. */
export function getWaits(measure: Measure): "waits" | "pauseWaits" {
    return measure === "times" ? "waits" : "pauseWaits";
}

/** Difference to its first times from which on the old version has become slow itself. */
const slowedDownBounds: IncreaseBounds = { minBad: 3, minIncrease: 0.15, minStandardErrors: 2.5 };

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
    /** By measure: the old version's answers when last enough were known, and how many of them were slower than it was at first. */
    readonly #slowedDown: Record<Measure, AnswerShare> = { times: noAnswers, pauses: noAnswers };
    /** Monotonic milliseconds since which the evidence on the new version has been sound. */
    #soundSince: number | undefined;
    #isAlike = false;
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
        for (const measure of measures) {
            this.#slowedDown[measure] = this.getSlowedDown(measure, evidence);
        }
        const isSlowedDown = this.#isAlike && this.#isSlowedDown();
        for (const [segment, { current }] of evidence) {
            for (const measure of measures) {
                const known = this.#references[measure].get(segment);
                const next = splitByLoad(current[measure]).map((added, loadClass) => {
                    const { counts, first, sum } = known?.[loadClass] ?? noReference;
                    const reference = {
                        counts: chooseReference(added, counts),
                        // Loads that are new to a version which has become slow say nothing about its usual times.
                        first: isSlowedDown || countAbove(first, -1) >= minReferenceTimes ? first : added,
                        sum,
                    };
                    return isAdded ? addToSum(reference, added) : reference;
                });
                this.#references[measure].set(segment, next);
            }
        }
    }

    /**
     * Records whether the new version is found to be as quick as the old one. If it is for so long that no evidence of before is left,
     * and the old version becomes slow after that, what both versions share has changed.
     * @param isSound - Whether the evidence on the new version is sound.
     * @param now - Monotonic milliseconds.
     */
    setSound(isSound: boolean, now: number): void {
        this.#soundSince = isSound ? this.#soundSince ?? now : undefined;
        this.#isAlike ||= this.#soundSince !== undefined && now - this.#soundSince >= evidenceMilliseconds;
    }

    /** Returns the earlier distribution of a kind of request, or undefined if it says nothing about the present one. */
    get(measure: Measure, segment: string): TimeCounts | undefined {
        const references = this.#isAlike && this.#isSlowedDown() ? undefined : this.#references[measure].get(segment);
        return references === undefined ? undefined : joinLoads(references.map(({ counts }) => counts));
    }

    /**
     * Returns the old version's answers under loads that it has borne before, and how many of them are slower than its first ones were.
     * While it bears other loads only, nothing tells whether it is still as slow, so the last answers under known loads are returned.
     * @param measure - What is measured of the answers.
     * @param evidence - The counts of the last seconds.
     */
    getSlowedDown(measure: Measure, evidence: EvidenceCounts): AnswerShare {
        const share = [...evidence]
            .map(([segment, { current }]) => this.#countSlowedDown(current, measure, segment))
            .reduce(addShares, noAnswers);
        return share.answers >= minReferenceTimes || !this.#isAlike ? share : this.#slowedDown[measure];
    }

    #isSlowedDown(): boolean {
        return measures.some(measure => {
            return compareShares(this.#slowedDown[measure], noAnswers, slowedDownBounds) !== undefined;
        });
    }

    #countSlowedDown(current: VersionCounts, measure: Measure, segment: string): AnswerShare {
        const [counts, waits] = [current[measure], current[getWaits(measure)]].map(splitByLoad);
        return (this.#references[measure].get(segment) ?? [])
            .map(({ first }, loadClass) => {
                return countAbove(first, -1) < minReferenceTimes
                    ? noAnswers
                    : countSlow(counts[loadClass], waits[loadClass], first);
            })
            .reduce(addShares, noAnswers);
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
