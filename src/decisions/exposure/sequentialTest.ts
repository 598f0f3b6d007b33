/**
 * A sequential test that may be looked at as often as one likes.
 *
 * For each metric it bets against "the mean is at least that of the reference": every observation multiplies a capital
 * by `1 + bet * (reference - value)`. While the version is as good as the reference no betting strategy is expected to
 * gain, so the capital ever reaches `1 / alpha` with a probability of at most `alpha` (Ville's inequality). The test
 * spreads its capital over bets of several sizes, over metrics, over single classes and all of them pooled, and over
 * the times at which the version may have turned bad; the sum of it all is again such a capital, which is what
 * corrects for the many looks. The capital depends on counts alone, so that merged counts serve as well as raw data.
 */
import type { Bucket, Tally } from "../model/index.js";
import { createMetrics, getReference, type Metric, type MetricName } from "./metric.js";

/** Sizes of bets, as parts of the greatest bet that can't lose more than the capital. */
const betParts: readonly number[] = [0.08, 0.25, 0.6];
/** Part of the capital of a metric that is bet on all classes together; the rest is split over single classes. */
const pooledPart = 0.6;
/** Reference observations below which a class isn't judged. */
const minimumReferenceCount = 100;
/** Standard errors by which the reference is lowered, since it is itself an estimate. */
const referenceErrors = 1.5;
/** Keeps `Math.exp` finite. */
const maximumLog = 600;

/** What is known of a version in one class. */
export interface Stratum {
    readonly requestClass: string;
    /** Counts of the version under test. */
    readonly buckets: readonly Bucket[];
    /** Counts of what it is compared with. */
    readonly reference: Tally;
}

/** Options of `SequentialTest`. */
export interface SequentialTestOptions {
    /** Capital at which the version is judged bad. For a roll-out, one over the false alarm probability. */
    readonly threshold: number;
    /** Part of the capital that is bet on the version having been bad from the first epoch. */
    readonly firstStartPart: number;
    /** Part of the capital that is bet on each later epoch as the one at which it turned bad. */
    readonly laterStartPart: number;
    /** Later starts are multiples of so many epochs. */
    readonly startStep?: number;
    readonly metrics?: readonly Metric[];
}

/** What the test says. */
export interface TestResult {
    readonly bad: boolean;
    /** The capital reached, as a part of the threshold; 1 or more is bad. */
    readonly strength: number;
    /** The metric that contributes most. */
    readonly metric: MetricName;
    /** The class that contributes most; `undefined`: all classes pooled. */
    readonly requestClass: string | undefined;
}

interface Series {
    readonly stratum: number;
    readonly start: number;
    readonly tally: Tally;
}

/** Judges a version against a reference. */
export class SequentialTest {
    readonly #options: SequentialTestOptions;

    constructor(options: SequentialTestOptions) {
        this.#options = options;
    }

    /**
     * Judges the counts so far. The answer depends on the counts only, not on earlier calls.
     * @param strata - The counts by class.
     */
    evaluate(strata: readonly Stratum[]): TestResult {
        const series = collectSeries(strata);
        let total = 0;
        let greatest = -1;
        let metricName: MetricName = "bad ratings";
        let requestClass: string | undefined;
        for (const metric of this.#options.metrics ?? createMetrics()) {
            const capital = this.#evaluateMetric(metric, strata, series);
            const contributions = [pooledPart * capital.pooled];
            for (const single of capital.single) {
                contributions.push((1 - pooledPart) * single / capital.single.length);
            }
            for (const [index, contribution] of contributions.entries()) {
                const weighted = metric.weight * contribution;
                total += weighted;
                if (weighted > greatest) {
                    greatest = weighted;
                    metricName = metric.name;
                    requestClass = index === 0 ? undefined : strata[index - 1].requestClass;
                }
            }
        }
        const strength = total / this.#options.threshold;
        return { bad: strength >= 1, strength, metric: metricName, requestClass };
    }

    #evaluateMetric(metric: Metric, strata: readonly Stratum[], series: readonly Series[]) {
        const tables = strata.map(stratum => createLogTable(metric, stratum.reference));
        const logs = strata.map(() => betParts.map(() => 0));
        const pooledLogs = betParts.map(() => 0);
        const single = strata.map(() => 0);
        let pooled = 0;
        for (const [index, { stratum, start, tally }] of series.entries()) {
            addLogs(metric, tally, tables[stratum], logs[stratum], pooledLogs);
            if (index + 1 < series.length && series[index + 1].start === start) {
                continue;
            }
            const part = this.#getStartPart(start, index === series.length - 1);
            if (part > 0) {
                pooled += part * getMeanCapital(pooledLogs);
                for (const [other, classLogs] of logs.entries()) {
                    single[other] += part * getMeanCapital(classLogs);
                }
            }
        }
        return { pooled, single };
    }

    #getStartPart(start: number, first: boolean): number {
        if (first) {
            return this.#options.firstStartPart;
        }
        return start % (this.#options.startStep ?? 1) === 0 ? this.#options.laterStartPart : 0;
    }
}

/** Orders all buckets from the newest to the oldest start, so that sums from each start on build up. */
function collectSeries(strata: readonly Stratum[]): readonly Series[] {
    const series: Series[] = [];
    for (const [index, { buckets }] of strata.entries()) {
        for (const bucket of buckets) {
            series.push({ stratum: index, start: bucket.start, tally: bucket.tally });
        }
    }
    return series.sort((left, right) => right.start - left.start);
}

/** Gets, for each bet and each value, the logarithm of what an observation multiplies the capital by. */
function createLogTable(metric: Metric, reference: Tally): readonly (readonly number[])[] | undefined {
    const { count, mean, error } = getReference(metric, reference);
    const nullMean = mean - metric.margin - referenceErrors * error;
    if (count < minimumReferenceCount || nullMean <= 0) {
        return undefined;
    }
    return betParts.map(part => {
        const bet = part / (1 - nullMean);
        return metric.values.map(value => Math.log(1 + bet * (nullMean - value)));
    });
}

function addLogs(
    metric: Metric,
    tally: Tally,
    table: readonly (readonly number[])[] | undefined,
    logs: number[],
    pooledLogs: number[],
): void {
    if (table === undefined) {
        return;
    }
    const counts = metric.count(tally);
    for (const [bet, row] of table.entries()) {
        let sum = 0;
        for (const [value, log] of row.entries()) {
            sum += counts[value] * log;
        }
        logs[bet] += sum;
        pooledLogs[bet] += sum;
    }
}

function getMeanCapital(logs: readonly number[]): number {
    let sum = 0;
    for (const log of logs) {
        sum += Math.exp(Math.min(maximumLog, log));
    }
    return sum / logs.length;
}
