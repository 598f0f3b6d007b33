/**
 * Checks whether a new version is worse than the old one by comparing their answers over the same time.
 */
import type { EvidenceCounts, SegmentCounts, VersionCounts } from "./rolloutEvidence.js";

/** A regression of the new version. */
export interface Regression {
    /** Kind of request in which it was found, or `all`. */
    readonly segment: string;
    readonly reason: "failures" | "slow";
    readonly candidate: number;
    readonly current: number;
}

/** Fewer failures than this may be random or caused by one bad upstream. */
const minFailures = 5;
/** Maximum by which the new version's failure share may exceed that of the old one. */
const maxFailureShareIncrease = 0.12;
/**
 * Minimum difference between the two versions' failure shares, in standard errors. A false alarm occurs about once in
 * several thousand evaluations.
 */
const failureStandardErrors = 4.5;
/**
 * Prior of the old version: two failures in twenty answers are added to its counts. When the new version serves
 * everything there are no answers to compare with, and faults that appear only under full load must still be found.
 */
const priorAnswers = 20;
const priorFailures = 2;
/** Minimum number of answers with a time, of each version, for a comparison of times. */
const minTimedAnswers = 6;
/** Maximum ratio of the new version's time to that of the old one, as geometric means. */
const maxSlowdownRatio = 2.5;
/** Minimum difference between the two versions' mean logarithms of times, in standard errors. */
const slowdownStandardErrors = 4;

/**
 * Compares the new version with the old one.
 * @param evidence - Counts of all nodes, by kind of request.
 * @returns The first regression, or undefined if there is none.
 */
export function evaluateRollout(evidence: EvidenceCounts): Regression | undefined {
    let current = emptyCounts;
    let candidate = emptyCounts;
    for (const [segment, counts] of evidence) {
        const regression = compareFailures(segment, counts) ?? compareTimes(segment, counts);
        if (regression !== undefined) {
            return regression;
        }
        current = addFailures(current, counts.current);
        candidate = addFailures(candidate, counts.candidate);
    }
    return compareFailures("all", { current, candidate });
}

const emptyCounts: VersionCounts = { answers: 0, failures: 0, timed: 0, logSum: 0, logSquares: 0 };

function addFailures(sum: VersionCounts, counts: VersionCounts): VersionCounts {
    return { ...sum, answers: sum.answers + counts.answers, failures: sum.failures + counts.failures };
}

function compareFailures(segment: string, { current, candidate }: SegmentCounts): Regression | undefined {
    if (candidate.failures < minFailures) {
        return undefined;
    }
    const currentAnswers = current.answers + priorAnswers;
    const currentFailures = current.failures + priorFailures;
    const candidateShare = candidate.failures / candidate.answers;
    const currentShare = currentFailures / currentAnswers;
    const difference = candidateShare - currentShare;
    const variance = currentShare * (1 - currentShare);
    const standardError = Math.sqrt(variance * (1 / candidate.answers + 1 / currentAnswers));
    if (difference < maxFailureShareIncrease || difference < failureStandardErrors * standardError) {
        return undefined;
    }
    return { segment, reason: "failures", candidate: candidateShare, current: currentShare };
}

function compareTimes(segment: string, { current, candidate }: SegmentCounts): Regression | undefined {
    if (candidate.timed < minTimedAnswers || current.timed < minTimedAnswers) {
        return undefined;
    }
    const candidateMean = candidate.logSum / candidate.timed;
    const currentMean = current.logSum / current.timed;
    const standardError = Math.sqrt(getVariance(candidate) / candidate.timed + getVariance(current) / current.timed);
    const difference = candidateMean - currentMean;
    if (difference < Math.log(maxSlowdownRatio) || difference < slowdownStandardErrors * standardError) {
        return undefined;
    }
    return { segment, reason: "slow", candidate: Math.exp(candidateMean), current: Math.exp(currentMean) };
}

function getVariance({ timed, logSum, logSquares }: VersionCounts): number {
    const mean = logSum / timed;
    return Math.max(0.01, logSquares / timed - mean * mean);
}
