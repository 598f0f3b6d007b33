/**
 * What a version is judged by. Each metric maps a tally to counts of values from 0 (worst) to 1 (best), so that one
 * test serves them all: the mean must not be lower than that of the reference.
 */
import { scoreSteps, type Tally } from "../model/index.js";

/** Names of the metrics. */
export type MetricName = "bad ratings" | "mean rating" | "errors" | "latency";

/** One thing that a version is judged by. */
export interface Metric {
    readonly name: MetricName;
    /** Its part of the false alarm budget. */
    readonly weight: number;
    /** How much worse than the reference is still as good. */
    readonly margin: number;
    /** The values that one observation can take. */
    readonly values: readonly number[];
    /**
     * Counts the observations.
     * @returns For each of `values`, how often it was seen.
     */
    readonly count: (tally: Tally) => readonly number[];
}

const scoreValues = Array.from({ length: scoreSteps + 1 }, (...[, bin]) => bin / scoreSteps);
const binaryValues = [0, 1];

/** Scores up to this bin are bad answers. */
const maxBadBin = scoreSteps / 2;

/** Counts the ratings of a tally that call an answer bad. */
export function countBadRatings(tally: Tally): number {
    let count = 0;
    for (let bin = 0; bin <= maxBadBin; bin += 1) {
        count += tally.getBin(bin);
    }
    return count;
}

/** How far a version's mean rating may lie below its reference's, unless the configuration says otherwise. */
const defaultQualityMargin = 0.05;
/**
 * The margin for bad answers, as a part of that for the mean rating. A single bad answer can do harm that no number of
 * good ones makes up for, so less of them is taken as still as good.
 */
const badRatingMarginShare = 0.2;

/**
 * Makes the metrics by which a version is judged.
 * @param qualityMargin - How far its mean rating may lie below that of its reference.
 */
export function createMetrics(qualityMargin: number = defaultQualityMargin): readonly Metric[] {
    return [
        {
            // A version that answers well as a rule and badly now and then shows here much sooner than in its mean.
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

/** Mean and standard error of a metric in a reference. */
export interface Reference {
    readonly count: number;
    readonly mean: number;
    readonly standardError: number;
}

/** Variance of one observation that is assumed before any was seen, and how many observations that weighs. */
const priorVariance = 0.04;
const priorWeight = 2;

/** Gets the mean of a metric in a tally, with its standard error. */
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
    // One worst observation is added: a short reference without a single bad answer would otherwise promise that there are
    // none, and the first bad answers of a good version would halt it.
    return { count, mean: sum / (count + 1), standardError: Math.sqrt(variance / count) };
}
