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
const betFractions: readonly number[] = [0.08, 0.25, 0.6];
/** Part of the capital of a metric that is bet on all classes together; the rest is split over single classes. */
const pooledWeight = 0.6;
/** Reference observations below which a class isn't judged. */
const minReferenceCount = 100;
/** Standard errors by which the reference is lowered, since it is itself an estimate. */
const referenceStandardErrors = 1.5;
/** Keeps `Math.exp` finite. */
const maxLog = 600;

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
    readonly initialChangeWeight: number;
    /** Part of the capital that is bet on each later epoch as the one at which it turned bad. */
    readonly laterChangeWeight: number;
    /** Later starts are multiples of so many epochs. */
    readonly changePointStep?: number;
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

interface StratumBucket {
    readonly stratumIndex: number;
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
        const orderedBuckets = collectBuckets(strata);
        let total = 0;
        let maxContribution = -1;
        let metricName: MetricName = "bad ratings";
        let requestClass: string | undefined;
        for (const metric of this.#options.metrics ?? createMetrics()) {
            const capital = this.#evaluateMetric(metric, strata, orderedBuckets);
            const contributions = [pooledWeight * capital.pooled];
            for (const single of capital.single) {
                contributions.push((1 - pooledWeight) * single / capital.single.length);
            }
            for (const [index, contribution] of contributions.entries()) {
                const weighted = metric.weight * contribution;
                total += weighted;
                if (weighted > maxContribution) {
                    maxContribution = weighted;
                    metricName = metric.name;
                    requestClass = index === 0 ? undefined : strata[index - 1].requestClass;
                }
            }
        }
        const strength = total / this.#options.threshold;
        return { bad: strength >= 1, strength, metric: metricName, requestClass };
    }

    #evaluateMetric(metric: Metric, strata: readonly Stratum[], orderedBuckets: readonly StratumBucket[]) {
        const tables = strata.map(stratumIndex => createLogTable(metric, stratumIndex.reference));
        const logs = strata.map(() => betFractions.map(() => 0));
        const pooledLogs = betFractions.map(() => 0);
        const single = strata.map(() => 0);
        let pooled = 0;
        for (const [index, { stratumIndex, start, tally }] of orderedBuckets.entries()) {
            addLogs(metric, tally, tables[stratumIndex], logs[stratumIndex], pooledLogs);
            if (index + 1 < orderedBuckets.length && orderedBuckets[index + 1].start === start) {
                continue;
            }
            const weight = this.#getChangeWeight(start, index === orderedBuckets.length - 1);
            if (weight > 0) {
                pooled += weight * getMeanCapital(pooledLogs);
                for (const [other, classLogs] of logs.entries()) {
                    single[other] += weight * getMeanCapital(classLogs);
                }
            }
        }
        return { pooled, single };
    }

    #getChangeWeight(start: number, isFirst: boolean): number {
        if (isFirst) {
            return this.#options.initialChangeWeight;
        }
        return start % (this.#options.changePointStep ?? 1) === 0 ? this.#options.laterChangeWeight : 0;
    }
}

/** Orders all buckets from the newest to the oldest start, so that sums from each start on build up. */
function collectBuckets(strata: readonly Stratum[]): readonly StratumBucket[] {
    const orderedBuckets: StratumBucket[] = [];
    for (const [index, { buckets }] of strata.entries()) {
        for (const bucket of buckets) {
            orderedBuckets.push({ stratumIndex: index, start: bucket.start, tally: bucket.tally });
        }
    }
    return orderedBuckets.sort((left, right) => right.start - left.start);
}

/** Gets, for each bet and each value, the logarithm of what an observation multiplies the capital by. */
function createLogTable(metric: Metric, reference: Tally): readonly (readonly number[])[] | undefined {
    const { count, mean, standardError } = getReference(metric, reference);
    const nullMean = mean - metric.margin - referenceStandardErrors * standardError;
    if (count < minReferenceCount || nullMean <= 0) {
        return undefined;
    }
    return betFractions.map(fraction => {
        const bet = fraction / (1 - nullMean);
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
        sum += Math.exp(Math.min(maxLog, log));
    }
    return sum / logs.length;
}
