/**
 * The posterior of a version's rated quality in one class of request.
 */
import type { ModelVersion } from "../../world/index.js";
import type { Evidence } from "./evidence.js";
import { scoreSteps, type Tally } from "./tally.js";

/** Standard deviation of how far a class's quality lies from what is expected of the version. */
const priorDeviation = 0.15;
/** Variance of single scores that is assumed before any came in, and how many scores that assumption weighs. */
const priorScoreVariance = 0.04;
const priorScoreWeight = 4;

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
    const tally = evidence.getRecent(version.id, requestClass);
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
