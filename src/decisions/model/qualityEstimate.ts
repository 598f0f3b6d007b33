/**
 * The posterior of a version's rated quality in one request class.
 */
import type { ModelVersion } from "../../world/index.js";
import type { WeightedScores } from "./moments.js";

/** The estimated quality of a version in a class. */
export interface QualityEstimate {
    readonly version: ModelVersion;
    /** Recent counts; older ones have a lower weight. */
    readonly scores: WeightedScores;
    /** Posterior mean of the quality. */
    readonly mean: number;
    /** Posterior standard deviation of `mean`. */
    readonly deviation: number;
    /** Mean and standard deviation without the ratings of answers that were escalated to this version. */
    readonly directMean: number;
    readonly directDeviation: number;
    /** Variance of single scores. */
    readonly scoreVariance: number;
}
