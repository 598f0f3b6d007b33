/**
 * The posterior of a version's rated quality in one class of request.
 */
import type { ModelVersion } from "../../world/index.js";
import type { WeightedScores } from "./moments.js";

/** What is known of a version in a class. */
export interface QualityEstimate {
    readonly version: ModelVersion;
    /** Recent counts, old ones weighing less. */
    readonly scores: WeightedScores;
    /** Posterior mean of the quality. */
    readonly mean: number;
    /** Posterior standard deviation of that mean. */
    readonly deviation: number;
    /** The same without the ratings of answers that were escalated to it. */
    readonly directMean: number;
    readonly directDeviation: number;
    /** Variance of single scores. */
    readonly scoreVariance: number;
}
