/**
 * Reads the counts of a version in one request class, excluding counts from before its last detected change.
 */
import type { Evidence } from "./evidence.js";
import { Moments, type ScoreSums, WeightedScores } from "./moments.js";
import { scoreSteps } from "./tally.js";

/** Prior variance of single scores, and the number of scores that this prior counts as. */
const priorScoreVariance = 0.04;
const priorScoreWeight = 4;
/** Ratings needed before and after a possible change for it to be detected. */
const minChangeRatings = 20;
/**
 * Standard errors by which older scores must differ from newer ones to be excluded. An improvement needs more of them
 * than a deterioration.
 */
const worseStandardErrors = 4;
const betterStandardErrors = 5;

/** The counts of a version in a class at the time they were read. */
export interface CellCounts {
    /** The value of `Evidence.getRevision` at that time. */
    readonly revision: number;
    /** Recent counts; older ones have a lower weight. */
    readonly scores: WeightedScores;
    /** Mean and variance of single scores. The mean is 0 without scores. */
    readonly mean: number;
    readonly variance: number;
    /** Precision of the mean. It is 0 without scores. */
    readonly precision: number;
}

/** Reads the counts of a version in a class. */
export function readCell(evidence: Evidence, version: string, requestClass: string): CellCounts {
    const revision = evidence.getRevision(version, requestClass);
    const scores = getValidScores(evidence, version, requestClass);
    const variance = getScoreVariance(scores);
    return {
        revision,
        scores,
        mean: scores.ratings > 0 ? scores.scoreSum / scores.ratings : 0,
        variance,
        precision: scores.ratings / variance,
    };
}

/**
 * Sums the counts since the version last changed. Counts from before a change would conceal for a long time that a
 * version has become worse: the old good ratings outweigh the new bad ones, and callers continue to get bad answers.
 *
 * The search for a change reads moments only. It iterates over the buckets of all entries on the event loop that also
 * forwards callers' tokens. Summing whole histograms at each step delayed these tokens by milliseconds.
 */
function getValidScores(evidence: Evidence, version: string, requestClass: string): WeightedScores {
    const buckets = evidence.getWeightedBuckets(version, requestClass);
    buckets.sort((left, right) => right.start - left.start);
    const older = new Moments();
    for (const { tally, weight } of buckets) {
        older.add(tally, weight);
    }
    const newer = new Moments();
    const valid = new WeightedScores();
    for (const { tally, weight } of buckets) {
        if (isChanged(newer, older)) {
            break;
        }
        newer.add(tally, weight);
        older.add(tally, -weight);
        valid.addTally(tally, weight);
    }
    return valid;
}

function isChanged(newer: Moments, older: Moments): boolean {
    if (newer.ratings < minChangeRatings || older.ratings < minChangeRatings) {
        return false;
    }
    const difference = newer.scoreSum / newer.ratings - older.scoreSum / older.ratings;
    const variance = getScoreVariance(newer) / newer.ratings + getScoreVariance(older) / older.ratings;
    const standardErrors = difference / Math.sqrt(variance);
    return standardErrors < -worseStandardErrors || standardErrors > betterStandardErrors;
}

/** Returns the variance of single scores, shrunk towards the prior variance while there are few scores. */
function getScoreVariance({ ratings, binSum, binSquareSum }: ScoreSums): number {
    if (ratings === 0) {
        return priorScoreVariance;
    }
    const squaredDeviations = Math.max(0, binSquareSum - binSum * binSum / ratings) / scoreSteps ** 2;
    return (squaredDeviations + priorScoreWeight * priorScoreVariance) / (ratings + priorScoreWeight);
}
