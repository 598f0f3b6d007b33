/**
 * The posterior of a version's rated quality in one class of request.
 */
import type { ModelVersion } from "../../world/index.js";
import type { Bucket } from "./bucketSeries.js";
import type { Evidence } from "./evidence.js";
import { scoreSteps, Tally } from "./tally.js";

/** Standard deviation of how far a class's quality lies from what is expected of the version. */
const priorDeviation = 0.15;
/** Variance of single scores that is assumed before any came in, and how many scores that assumption weighs. */
const priorScoreVariance = 0.04;
const priorScoreWeight = 4;
/** Ratings after a supposed change that are needed to believe in it. */
const minimumChangeRatings = 20;
/** Standard errors by which older scores must differ from newer ones to be left out: more, if the change is welcome. */
const worseErrors = 4;
const betterErrors = 5;

/** What is known of a version in a class. */
export interface Estimate {
    readonly version: ModelVersion;
    /** Recent counts, old ones weighing less. */
    readonly tally: Tally;
    /** Posterior mean of the quality. */
    readonly mean: number;
    /** Posterior standard deviation of that mean. */
    readonly deviation: number;
    /** Mean and variance of single scores as observed. */
    readonly scoreMean: number;
    readonly scoreVariance: number;
}

/**
 * Gets the posterior of a version in a class.
 * @param evidence - The merged counts.
 * @param version - The version.
 * @param requestClass - The class.
 */
export function getEstimate(evidence: Evidence, version: ModelVersion, requestClass: string): Estimate {
    const tally = getValidTally(evidence, version.id, requestClass);
    const count = tally.ratings;
    const scoreMean = count > 0 ? tally.scoreSum / count : version.expectedQuality;
    const scoreVariance = getScoreVariance(tally);
    const priorPrecision = 1 / priorDeviation ** 2;
    const dataPrecision = count / scoreVariance;
    const precision = priorPrecision + dataPrecision;
    return {
        version,
        tally,
        mean: (priorPrecision * version.expectedQuality + dataPrecision * scoreMean) / precision,
        deviation: Math.sqrt(1 / precision),
        scoreMean,
        scoreVariance,
    };
}

/**
 * Sums up the counts since the version last changed. Counts from before a change would hide for a long time that a
 * version has become worse: its old good ratings outweigh the new bad ones, and callers go on getting bad answers.
 */
function getValidTally(evidence: Evidence, version: string, requestClass: string): Tally {
    const buckets = [...evidence.getBuckets(version, requestClass)].sort((left, right) => right.start - left.start);
    const older = new Tally();
    for (const bucket of buckets) {
        older.add(bucket.tally, evidence.getWeight(bucket));
    }
    const newer = new Tally();
    for (const bucket of buckets) {
        if (isChanged(newer, older)) {
            return newer;
        }
        addWeighted(newer, older, bucket, evidence.getWeight(bucket));
    }
    return newer;
}

function addWeighted(newer: Tally, older: Tally, bucket: Bucket, weight: number): void {
    newer.add(bucket.tally, weight);
    older.add(bucket.tally, -weight);
}

function isChanged(newer: Tally, older: Tally): boolean {
    if (newer.ratings < minimumChangeRatings || older.ratings < minimumChangeRatings) {
        return false;
    }
    const difference = newer.scoreSum / newer.ratings - older.scoreSum / older.ratings;
    const variance = getScoreVariance(newer) / newer.ratings + getScoreVariance(older) / older.ratings;
    const errors = difference / Math.sqrt(variance);
    return errors < -worseErrors || errors > betterErrors;
}

/** Gets the variance of single scores, drawn towards what is assumed while there are few. */
function getScoreVariance(tally: Tally): number {
    if (tally.ratings === 0) {
        return priorScoreVariance;
    }
    let sum = 0;
    let squares = 0;
    for (let bin = 0; bin <= scoreSteps; bin += 1) {
        const score = bin / scoreSteps;
        sum += tally.getBin(bin) * score;
        squares += tally.getBin(bin) * score * score;
    }
    const spread = Math.max(0, squares - sum * sum / tally.ratings);
    return (spread + priorScoreWeight * priorScoreVariance) / (tally.ratings + priorScoreWeight);
}
