/**
 * Reads the counts of a version in one class of request, those from before a change left out.
 */
import type { Evidence } from "./evidence.js";
import { Moments, type ScoreSums, WeightedScores } from "./moments.js";
import { scoreSteps } from "./tally.js";

/** Variance of single scores that is assumed before any came in, and how many scores that assumption weighs. */
const priorScoreVariance = 0.04;
const priorScoreWeight = 4;
/** Ratings after a supposed change that are needed to believe in it. */
const minChangeRatings = 20;
/** Standard errors by which older scores must differ from newer ones to be left out: more, if the change is welcome. */
const worseStandardErrors = 4;
const betterStandardErrors = 5;

/** The counts of a version in a class as they were read. */
export interface CellCounts {
    /** `Evidence.getRevision` at that time. */
    readonly revision: number;
    /** Recent counts, old ones weighing less. */
    readonly scores: WeightedScores;
    /** Mean and variance of single scores. The mean is 0 while there are none. */
    readonly mean: number;
    readonly variance: number;
    /** Precision of the mean; 0 while there are no scores. */
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
 * Sums up the counts since the version last changed. Counts from before a change would hide for a long time that a
 * version has become worse: its old good ratings outweigh the new bad ones, and callers go on getting bad answers.
 *
 * The search for a change looks at moments only. It runs over the buckets of all entries while callers' tokens wait on
 * the same loop, and adding up whole histograms at each step held them up for milliseconds.
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

/** Gets the variance of single scores, drawn towards what is assumed while there are few. */
function getScoreVariance({ ratings, binSum, binSquareSum }: ScoreSums): number {
    if (ratings === 0) {
        return priorScoreVariance;
    }
    const squaredDeviations = Math.max(0, binSquareSum - binSum * binSum / ratings) / scoreSteps ** 2;
    return (squaredDeviations + priorScoreWeight * priorScoreVariance) / (ratings + priorScoreWeight);
}
