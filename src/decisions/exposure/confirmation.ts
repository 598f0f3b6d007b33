/**
 * A test that treats missing ratings as evidence: it compares the share of a candidate's answers that a rating
 * confirmed as good with the baseline's share at the same time.
 *
 * Where bad answers are rated less often than good ones, the ratings that do arrive look nearly unchanged. The share of
 * answers that were rated good still decreases with every bad answer, whether it is rated or not. An outage of the
 * rating service lowers this share for both versions alike, so the baseline's answers of the same minute are the
 * reference.
 */
import type { Bucket, Tally } from "../model/index.js";
import { countBadRatings } from "./metric.js";

/** Number of epochs in a slot of time. The two versions are compared within slots. */
const slotEpochs = 64;
/**
 * Margin by which the candidate's share may be below the baseline's, as a part of the latter, and still count as good.
 */
const shareMargin = 0.01;
/** Standard errors by which the baseline's share is lowered, since it is an estimate too. */
const referenceStandardErrors = 1;
/** Minimum number of the baseline's answers for an evaluation. */
const minReferenceAnswers = 100;
/** Sizes of bets, as parts of the largest bet that cannot lose more than the capital. */
const betFractions: readonly number[] = [0.08, 0.25, 0.6];
const maxLog = 600;

/** Answers of a class that are old enough for their ratings to have arrived. */
export interface ConfirmationInput {
    readonly candidate: readonly Bucket[];
    /** Answers of the baseline since the start of the roll-out. */
    readonly baseline: readonly Bucket[];
}

interface AnswerCounts {
    answered: number;
    confirmed: number;
}

/**
 * Bets against the hypothesis that the candidate's share of confirmed answers is as high as the baseline's.
 * @param classes - The counts by class.
 * @returns The capital that the bets have reached. It starts at 1 and its expectation does not grow for a good
 * candidate.
 */
export function getConfirmationCapital(classes: readonly ConfirmationInput[]): number {
    const logs = betFractions.map(() => 0);
    for (const { candidate, baseline } of classes) {
        addClassBets(logs, candidate, baseline);
    }
    let sum = 0;
    for (const log of logs) {
        sum += Math.exp(Math.min(maxLog, log));
    }
    return sum / logs.length;
}

function addClassBets(logs: number[], candidate: readonly Bucket[], baseline: readonly Bucket[]): void {
    const reference = collectSlots(baseline);
    const shares: { share: number; confirmed: number; unconfirmed: number; }[] = [];
    const used = new Set<number>();
    for (const bucket of candidate) {
        const { answered, confirmed } = countAnswers(bucket.tally);
        const share = getConfirmedShare(reference, bucket, used);
        if (share !== undefined) {
            shares.push({ share, confirmed, unconfirmed: Math.max(0, answered - confirmed) });
        }
    }
    const shareReduction = referenceStandardErrors * getStandardError(reference, used);
    for (const { share, confirmed, unconfirmed } of shares) {
        const nullShare = share * (1 - shareMargin) - shareReduction;
        if (nullShare <= 0) {
            continue;
        }
        for (const [index, fraction] of betFractions.entries()) {
            logs[index] += confirmed * Math.log(1 - fraction)
                + unconfirmed * Math.log(1 + fraction * nullShare / (1 - nullShare));
        }
    }
}

/** Counts answers in slots of time. A coarse bucket is distributed evenly over the slots that it covers. */
function collectSlots(buckets: readonly Bucket[]): ReadonlyMap<number, AnswerCounts> {
    const slots = new Map<number, AnswerCounts>();
    for (const bucket of buckets) {
        const { answered, confirmed } = countAnswers(bucket.tally);
        const covered = getSlots(bucket);
        for (const slot of covered) {
            const known = slots.get(slot) ?? { answered: 0, confirmed: 0 };
            known.answered += answered / covered.length;
            known.confirmed += confirmed / covered.length;
            slots.set(slot, known);
        }
    }
    return slots;
}

function getSlots({ start, level }: Bucket): readonly number[] {
    const first = Math.floor(start / slotEpochs);
    return Array.from({ length: Math.max(1, 2 ** level / slotEpochs) }, (...[, index]) => first + index);
}

/** Returns the baseline's share of confirmed answers during a bucket, or `undefined` if it gave no answers then. */
function getConfirmedShare(
    reference: ReadonlyMap<number, AnswerCounts>,
    bucket: Bucket,
    used: Set<number>,
): number | undefined {
    let answered = 0;
    let confirmed = 0;
    for (const slot of getSlots(bucket)) {
        const known = reference.get(slot);
        if (known !== undefined) {
            answered += known.answered;
            confirmed += known.confirmed;
            used.add(slot);
        }
    }
    return answered < 1 ? undefined : Math.min(1, confirmed / answered);
}

/** Returns the standard error of the baseline's share over the slots that were used. */
function getStandardError(reference: ReadonlyMap<number, AnswerCounts>, used: ReadonlySet<number>): number {
    let answered = 0;
    let confirmed = 0;
    for (const slot of used) {
        answered += reference.get(slot)!.answered;
        confirmed += reference.get(slot)!.confirmed;
    }
    if (answered < minReferenceAnswers) {
        return Infinity;
    }
    const share = Math.min(1, confirmed / answered);
    return Math.sqrt(share * (1 - share) / answered);
}

function countAnswers(tally: Tally): Readonly<AnswerCounts> {
    return { answered: tally.answers - tally.failed, confirmed: tally.ratings - countBadRatings(tally) };
}
