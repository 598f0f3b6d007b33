/**
 * Checks whether a new version is worse than the old one by comparing their answers over the same time.
 */
import { type AnswerShare, compareShares, type IncreaseBounds, type ShareIncrease } from "./compareShares.js";
import type { EvidenceCounts, SegmentCounts, VersionCounts } from "./rolloutEvidence.js";
import { addTimeCounts, countAbove, getQuantileClass, splitByLoad, type TimeCounts } from "./timeCounts.js";
import {
    chooseReference,
    type Measure,
    minKindReferenceTimes,
    minReferenceTimes,
    type TimeReferences,
} from "./timeReferences.js";

/** A regression of the new version. */
export interface Regression extends ShareIncrease {
    /** Kind of request in which it was found, or `all`. */
    readonly segment: string;
    readonly reason: "failures" | "slow" | "slow between parts";
}

/**
 * What is known of a new version that was not found bad.
 * - `scarce`: too little to find a bad version, of it or of the old version's usual times.
 * - `suspicious`: more bad answers than the old version's, which may be random.
 * - `sound`: enough, and nothing suspicious.
 */
export type EvidenceState = "scarce" | "suspicious" | "sound";

/** A false alarm occurs about once in several thousand evaluations. */
const failureBounds: IncreaseBounds = { minBad: 5, minIncrease: 0.12, minStandardErrors: 4.5 };
const slownessBounds: IncreaseBounds = { minBad: 5, minIncrease: 0.2, minStandardErrors: 4.5 };
/** Bounds for one of many kinds of request: some kind is slow by chance more often than all of them together. */
const kindSlownessBounds: IncreaseBounds = { minBad: 8, minIncrease: 0.3, minStandardErrors: 4.5 };
/** Differences from which on the next step of the roll-out waits. They are random in a few of a hundred evaluations. */
const suspicionBounds: IncreaseBounds = { minBad: 3, minIncrease: 0.1, minStandardErrors: 2.5 };
/** The same for slow answers. A good version whose caches are cold or that serves more than the old one did is slightly slower. */
const slownessSuspicionBounds: IncreaseBounds = { minBad: 3, minIncrease: 0.15, minStandardErrors: 2.5 };
/** The same for one of many kinds of request. */
const kindSlownessSuspicionBounds: IncreaseBounds = { minBad: 4, minIncrease: 0.25, minStandardErrors: 3.5 };
/** Number of answers from which on a version is found bad whose share of bad answers exceeds the old one's by a third. */
const minSoundAnswers = 20;
/** Number of streams from which on a version is found bad of which all are slow between the parts. */
const minSoundPauses = 6;
/** Share of the old version's times up to the class that an answer must exceed to be slow. */
const usualShare = 0.9;
/** Classes between the end of the usual times and that class. */
const slowClassDistance = 1;

const noAnswers: AnswerShare = { answers: 0, bad: 0 };

/** The answers of both versions. */
interface AnswerShares {
    readonly candidate: AnswerShare;
    readonly current: AnswerShare;
}

/** The answers of both versions to requests of one kind. */
interface SegmentShares {
    readonly segment: string;
    readonly shares: AnswerShares;
}

/** The answers of both versions, by what may be bad about them. */
interface VersionShares {
    readonly failures: readonly SegmentShares[];
    readonly times: readonly SegmentShares[];
    readonly pauses: readonly SegmentShares[];
}

/**
 * Compares the new version with the old one.
 * @param evidence - Counts of all nodes, by kind of request.
 * @param references - Earlier times of the old version, for kinds of request of which it now answers too few.
 * @returns The first regression, or undefined if there is none.
 */
export function evaluateRollout(evidence: EvidenceCounts, references?: TimeReferences): Regression | undefined {
    const { failures, times, pauses } = getShares(evidence, references);
    return compare("failures", failures, failureBounds, failureBounds)
        ?? compareSlowness("slow", times, kindSlownessBounds, slownessBounds)
        ?? compareSlowness("slow between parts", pauses, kindSlownessBounds, slownessBounds);
}

/**
 * Returns what is known of a new version that was not found bad.
 * @param evidence - Counts of all nodes, by kind of request.
 * @param references - Earlier times of the old version.
 */
export function assessEvidence(evidence: EvidenceCounts, references?: TimeReferences): EvidenceState {
    const { failures, times, pauses } = getShares(evidence, references);
    const suspicion = compare("failures", failures, suspicionBounds, suspicionBounds)
        ?? compareSlowness("slow", times, kindSlownessSuspicionBounds, slownessSuspicionBounds)
        ?? compareSlowness("slow between parts", pauses, kindSlownessSuspicionBounds, slownessSuspicionBounds);
    if (suspicion !== undefined) {
        return "suspicious";
    }
    // Answers without a time, or without usual times to compare with, do not show whether the version is slow.
    const hasPauses = pauses.length === 0 || countAnswers(pauses, "candidate") >= minSoundPauses;
    return countAnswers(times, "candidate") >= minSoundAnswers && hasPauses ? "sound" : "scarce";
}

function getShares(evidence: EvidenceCounts, references: TimeReferences | undefined): VersionShares {
    const segments = [...evidence];
    const compareMeasure = (measure: Measure): readonly SegmentShares[] => {
        const slowedDown = segments
            .map(([segment, { current }]) => getSlowedDown(current, measure, references?.getFirst(measure, segment)))
            .reduce(addShares, noAnswers);
        const compared = segments.map(([segment, counts]) => {
            const earlier = references?.get(measure, segment);
            return { segment, shares: getSlowness(counts, { measure, earlier, slowedDown }) };
        });
        return countAnswers(compared, "current") >= minReferenceTimes ? compared : [];
    };
    return {
        failures: segments.map(([segment, counts]) => ({ segment, shares: getFailures(counts) })),
        times: compareMeasure("times"),
        pauses: compareMeasure("pauses"),
    };
}

function countAnswers(segments: readonly SegmentShares[], version: keyof AnswerShares): number {
    return segments.reduce((sum, { shares }) => sum + shares[version].answers, 0);
}

/** Compares all kinds of request together, then each of which enough usual times are known. */
function compareSlowness(
    reason: Regression["reason"],
    segments: readonly SegmentShares[],
    kindBounds: IncreaseBounds,
    totalBounds: IncreaseBounds,
): Regression | undefined {
    const kinds = segments.filter(({ shares }) => shares.current.answers >= minReferenceTimes);
    return compare(reason, segments, kindBounds, totalBounds, kinds);
}

/** Compares all kinds of request together, then some of them each by itself. */
function compare(
    reason: Regression["reason"],
    segments: readonly SegmentShares[],
    kindBounds: IncreaseBounds,
    totalBounds: IncreaseBounds,
    kinds: readonly SegmentShares[] = segments,
): Regression | undefined {
    const total = {
        segment: "all",
        shares: {
            candidate: segments.map(({ shares }) => shares.candidate).reduce(addShares, noAnswers),
            current: segments.map(({ shares }) => shares.current).reduce(addShares, noAnswers),
        },
    };
    for (const { segment, shares } of [total, ...kinds]) {
        const bounds = segment === total.segment ? totalBounds : kindBounds;
        const increase = compareShares(shares.candidate, shares.current, bounds);
        if (increase !== undefined) {
            return { segment, reason, ...increase };
        }
    }
    return undefined;
}

function getFailures({ candidate, current }: SegmentCounts): AnswerShares {
    return {
        candidate: { answers: candidate.answers, bad: candidate.failures },
        current: { answers: current.answers, bad: current.failures },
    };
}

/** The times of both versions under one load. */
interface LoadTimes {
    readonly candidate: TimeCounts;
    readonly candidateWaits: TimeCounts;
    /** The old version's present or earlier times. */
    readonly reference: TimeCounts;
    readonly currentWaits: TimeCounts;
}

const noTimes: LoadTimes = {
    candidate: [],
    candidateWaits: [],
    reference: [],
    currentWaits: [],
};

/** With what the answers of a kind of request are compared. */
interface SlownessOptions {
    readonly measure: Measure;
    /** Earlier times of the old version. */
    readonly earlier: TimeCounts | undefined;
    /** The old version's present answers of all kinds, and how many of them are slower than it was at first. */
    readonly slowedDown: AnswerShare;
}

/**
 * Counts the answers of both versions that take longer than nearly all of the old version's do under the same load. Otherwise a slow
 * version that serves little would look as quick as the old one that bears a burst. Where the old version answered too little under a
 * load, that load is compared together with the next higher one: a sound version is no slower where it has less to do.
 */
function getSlowness(
    { candidate, current }: SegmentCounts,
    { measure, earlier = [], slowedDown }: SlownessOptions,
): AnswerShares {
    const waits = getWaits(measure);
    const [candidates, candidateWaits, currents, currentWaits, earlierCounts] = [
        candidate[measure],
        candidate[waits],
        current[measure],
        current[waits],
        earlier,
    ].map(splitByLoad);
    const chosen = currents.map((counts, loadClass) => chooseReference(counts, earlierCounts[loadClass]));
    const isEarlier = chosen.some((reference, loadClass) => reference !== currents[loadClass]);
    let shares: AnswerShares = { candidate: noAnswers, current: noAnswers };
    let times = noTimes;
    for (const [loadClass, reference] of chosen.entries()) {
        times = addLoadTimes(times, {
            candidate: candidates[loadClass],
            candidateWaits: candidateWaits[loadClass],
            reference,
            currentWaits: currentWaits[loadClass],
        });
        if (countAbove(times.reference, -1) >= minKindReferenceTimes) {
            shares = addSlowness(shares, times, isEarlier ? slowedDown : noAnswers);
            times = noTimes;
        }
    }
    return shares;
}

function addLoadTimes(first: LoadTimes, second: LoadTimes): LoadTimes {
    return {
        candidate: addTimeCounts(first.candidate, second.candidate),
        candidateWaits: addTimeCounts(first.candidateWaits, second.candidateWaits),
        reference: addTimeCounts(first.reference, second.reference),
        currentWaits: addTimeCounts(first.currentWaits, second.currentWaits),
    };
}

/** Adds the answers under one load, of which those are slow that take longer than nearly all of the old version's do. */
function addSlowness(shares: AnswerShares, times: LoadTimes, slowedDown: AnswerShare): AnswerShares {
    const { candidate, candidateWaits, reference, currentWaits } = times;
    const slowClass = getSlowClass(reference);
    const current = countSlow(reference, currentWaits, slowClass);
    // Where earlier answers are compared, as many of them would be slow at present as of the others.
    const bad = slowedDown.answers >= minReferenceTimes
        ? Math.max(current.bad, current.answers * slowedDown.bad / slowedDown.answers)
        : current.bad;
    return {
        candidate: addShares(shares.candidate, countSlow(candidate, candidateWaits, slowClass)),
        current: addShares(shares.current, { ...current, bad }),
    };
}

/**
 * Counts the old version's answers that take longer than nearly all of its first ones under the same load. Where there are many, what
 * both versions share has become slow, and the new version is not compared with quicker times of before.
 */
function getSlowedDown(current: VersionCounts, measure: Measure, first: TimeCounts = []): AnswerShare {
    const [counts, waits, firstCounts] = [current[measure], current[getWaits(measure)], first].map(splitByLoad);
    return firstCounts
        .map((reference, loadClass) => {
            return countAbove(reference, -1) < minReferenceTimes
                ? noAnswers
                : countSlow(counts[loadClass], waits[loadClass], getSlowClass(reference));
        })
        .reduce(addShares, noAnswers);
}

/** Returns the class that a slow answer exceeds. */
function getSlowClass(reference: TimeCounts): number {
    return getQuantileClass(reference, usualShare) + slowClassDistance;
}

function getWaits(measure: Measure): "waits" | "pauseWaits" {
    return measure === "times" ? "waits" : "pauseWaits";
}

/** A wait that is not slow yet tells nothing: its answer may come at once. */
function countSlow(times: TimeCounts, waits: TimeCounts, slowClass: number): AnswerShare {
    const slowWaits = countAbove(waits, slowClass);
    return { answers: countAbove(times, -1) + slowWaits, bad: countAbove(times, slowClass) + slowWaits };
}

function addShares(first: AnswerShare, second: AnswerShare): AnswerShare {
    return { answers: first.answers + second.answers, bad: first.bad + second.bad };
}
