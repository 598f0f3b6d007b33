/**
 * A sequential test that may be evaluated any number of times.
 *
 * For each metric it bets against the hypothesis "the mean is at least that of the reference": every observation
 * multiplies a capital by `1 + bet * (reference - value)`. While the version is as good as the reference, no betting
 * strategy has an expected gain, so the capital ever reaches `1 / alpha` with a probability of at most `alpha` (Ville's
 * inequality). The test distributes its capital over bets of several sizes, over metrics, over single classes and all
 * of them pooled, and over the times at which the version may have become bad. The sum of all is such a capital again,
 * which corrects for the repeated evaluations. The capital depends on counts only, so merged counts serve as well as
 * raw data.
 */
import type { Bucket, Tally } from "../model/index.js";
import { createMetrics, getReference, type Metric, type MetricName } from "./metric.js";

/** Sizes of bets, as parts of the largest bet that cannot lose more than the capital. */
const betFractions: readonly number[] = [0.08, 0.25, 0.6];
/** Part of a metric's capital that is bet on all classes together. The rest is divided among the single classes. */
const pooledWeight = 0.6;
/** Minimum number of reference observations for the evaluation of a class. */
const minReferenceCount = 100;
/** Standard errors by which the reference is lowered, since it is an estimate too. */
const referenceStandardErrors = 1.5;
/** Keeps `Math.exp` finite. */
const maxLog = 600;

/** The counts of a version in one class. */
export interface Stratum {
    readonly requestClass: string;
    /** Counts of the version under test. */
    readonly buckets: readonly Bucket[];
    /** Counts of the reference that it is compared with. */
    readonly reference: Tally;
}

/** Options of `SequentialTest`. */
export interface SequentialTestOptions {
    /** Capital at which the version counts as bad. For a roll-out, 1 divided by the false alarm probability. */
    readonly threshold: number;
    /** Part of the capital that is bet on the version having been bad since the first epoch. */
    readonly initialChangeWeight: number;
    /** Part of the capital that is bet on each later epoch as the one at which the version became bad. */
    readonly laterChangeWeight: number;
    /** Later change points are multiples of this number of epochs. */
    readonly changePointStep?: number;
    readonly metrics?: readonly Metric[];
}

/** The result of a test. */
export interface TestResult {
    readonly isBad: boolean;
    /** The capital reached, as a part of the threshold. At 1 or more the version is bad. */
    readonly strength: number;
    /** The metric with the largest contribution. */
    readonly metric: MetricName;
    /** The class with the largest contribution, or `undefined` for all classes pooled. */
    readonly requestClass: string | undefined;
}

interface StratumBucket {
    readonly stratumIndex: number;
    readonly start: number;
    readonly tally: Tally;
}

/** Tests a version against a reference. */
export class SequentialTest {
    readonly #options: SequentialTestOptions;

    constructor(options: SequentialTestOptions) {
        this.#options = options;
    }

    /**
     * Evaluates the counts so far. The result depends on the counts only and not on earlier calls.
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
        return { isBad: strength >= 1, strength, metric: metricName, requestClass };
    }

    #evaluateMetric(metric: Metric, strata: readonly Stratum[], orderedBuckets: readonly StratumBucket[]) {
        const tables = strata.map(stratum => createLogTable(metric, stratum.reference));
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

/** Sorts all buckets from the latest to the earliest start, so that the sums from each start on accumulate. */
function collectBuckets(strata: readonly Stratum[]): readonly StratumBucket[] {
    const orderedBuckets: StratumBucket[] = [];
    for (const [index, { buckets }] of strata.entries()) {
        for (const bucket of buckets) {
            orderedBuckets.push({ stratumIndex: index, start: bucket.start, tally: bucket.tally });
        }
    }
    return orderedBuckets.sort((left, right) => right.start - left.start);
}

/** Returns, for each bet and each value, the logarithm of the factor by which an observation multiplies the capital. */
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
