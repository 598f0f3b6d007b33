/**
 * The metrics that a version is evaluated by. Each metric maps a tally to counts of values from 0 (worst) to 1 (best),
 * so that one test serves them all: the mean must not be lower than that of the reference.
 */
import { scoreSteps, type Tally } from "../model/index.js";

/** Names of the metrics. */
export type MetricName = "bad ratings" | "mean rating" | "errors" | "latency";

/** A metric that a version is evaluated by. */
export interface Metric {
    readonly name: MetricName;
    /** Part of the false alarm budget that the metric uses. */
    readonly weight: number;
    /** Margin by which the mean may be worse than the reference and still count as good. */
    readonly margin: number;
    /** The possible values of one observation. */
    readonly values: readonly number[];
    /**
     * Counts the observations.
     * @returns The number of observations of each of `values`.
     */
    readonly count: (tally: Tally) => readonly number[];
}

const scoreValues = Array.from({ length: scoreSteps + 1 }, (...[, bin]) => bin / scoreSteps);
const binaryValues = [0, 1];

/** Scores up to this bin count as bad answers. */
const maxBadBin = scoreSteps / 2;

/** Counts the ratings of a tally that mark an answer as bad. */
export function countBadRatings(tally: Tally): number {
    let count = 0;
    for (let bin = 0; bin <= maxBadBin; bin += 1) {
        count += tally.getBin(bin);
    }
    return count;
}

/** Default margin by which a version's mean rating may be below that of its reference. */
const defaultQualityMargin = 0.05;
/**
 * Margin of the share of bad answers, as a part of the margin of the mean rating. A single bad answer can do harm that
 * no number of good ones makes up for, so fewer of them are tolerated.
 */
const badRatingMarginShare = 0.2;

/**
 * Creates the metrics that a version is evaluated by.
 * @param qualityMargin - Margin by which its mean rating may be below that of its reference.
 */
export function createMetrics(qualityMargin: number = defaultQualityMargin): readonly Metric[] {
    return [
        {
            // Occasional bad answers of an otherwise good version show in this metric much sooner than in its mean
            // rating.
            name: "bad ratings",
            weight: 0.5,
            margin: badRatingMarginShare * qualityMargin,
            values: binaryValues,
            count: tally => {
                const bad = countBadRatings(tally);
                return [bad, tally.ratings - bad];
            },
        },
        {
            name: "mean rating",
            weight: 0.15,
            margin: qualityMargin,
            values: scoreValues,
            count: tally => scoreValues.map((...[, bin]) => tally.getBin(bin)),
        },
        {
            name: "errors",
            weight: 0.2,
            margin: 0.01,
            values: binaryValues,
            count: tally => [tally.failed, tally.answers - tally.failed],
        },
        {
            name: "latency",
            weight: 0.15,
            margin: 0.05,
            values: binaryValues,
            count: tally => [tally.slow, tally.answers - tally.slow],
        },
    ];
}

/** Mean and standard error of a metric in the counts of a reference. */
export interface Reference {
    readonly count: number;
    readonly mean: number;
    readonly standardError: number;
}

/** Prior variance of one observation, and the number of observations that this prior counts as. */
const priorVariance = 0.04;
const priorWeight = 2;

/** Returns the mean of a metric in a tally, with its standard error. */
export function getReference(metric: Metric, tally: Tally): Reference {
    const counts = metric.count(tally);
    let count = 0;
    let sum = 0;
    let squares = 0;
    for (const [index, value] of metric.values.entries()) {
        count += counts[index];
        sum += counts[index] * value;
        squares += counts[index] * value * value;
    }
    if (count <= 0) {
        return { count: 0, mean: 0, standardError: Infinity };
    }
    const squaredDeviations = Math.max(0, squares - sum * sum / count);
    const variance = (squaredDeviations + priorWeight * priorVariance) / (count + priorWeight);
    // One observation of the worst value is added. Otherwise a small reference without any bad answer would imply that
    // there are none, and the first bad answers of a good version would halt it.
    return { count, mean: sum / (count + 1), standardError: Math.sqrt(variance / count) };
}
