/**
 * High quantiles of recent values, such as the answer times of a pool.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "../../common/index.js";

/** Length of one period. Quantiles are taken over the current period and the one before it. */
const periodMilliseconds = 30_000;
/** The share of the values that lie at or below the quantile, in percent. */
const percentile = 95;
/** With fewer values, the quantile says little. */
const minValues = 20;
/** Values are kept as integers of this resolution. */
const resolution = 0.1;
const maxValue = 100_000;
/** Significant decimal digits of a value. */
const significantDigits = 2;
/** Maximum number of keys in memory. */
const maxKeys = 32;

interface Periods {
    startedAt: number;
    current: Histogram;
    previous: Histogram;
}

/** Keeps the distributions of recent values by key. */
export class RecentQuantiles {
    readonly #clock: Clock;
    /** By key, least recently used first. */
    readonly #periods = new Map<string, Periods>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a value.
     * @param key - The distribution that it belongs to.
     * @param value - The value; not negative.
     */
    add(key: string, value: number): void {
        const periods = this.#getPeriods(key) ?? this.#create();
        this.#periods.delete(key);
        this.#periods.set(key, periods);
        if (this.#periods.size > maxKeys) {
            this.#periods.delete(this.#periods.keys().next().value as string);
        }
        periods.current.recordValue(Math.max(1, Math.round(Math.min(maxValue, value) / resolution)));
    }

    /**
     * Returns the 95th percentile of the recent values, or undefined when there are too few.
     * @param key - The distribution.
     */
    getHigh(key: string): number | undefined {
        const periods = this.#getPeriods(key);
        if (periods === undefined) {
            return undefined;
        }
        const { current, previous } = periods;
        // The newest values count alone as soon as there are enough of them, since a pool may have turned slow.
        if (current.totalCount >= minValues) {
            return current.getValueAtPercentile(percentile) * resolution;
        }
        if (current.totalCount + previous.totalCount < minValues) {
            return undefined;
        }
        return Math.max(getHigh(current), getHigh(previous)) * resolution;
    }

    /** Returns the periods of a key after moving them on to the present. */
    #getPeriods(key: string): Periods | undefined {
        const periods = this.#periods.get(key);
        if (periods === undefined) {
            return undefined;
        }
        const now = this.#clock.monotonic();
        const age = now - periods.startedAt;
        if (age >= periodMilliseconds) {
            const { current, previous } = periods;
            previous.reset();
            if (age >= 2 * periodMilliseconds) {
                current.reset();
            }
            periods.current = previous;
            periods.previous = current;
            periods.startedAt = now;
        }
        return periods;
    }

    #create(): Periods {
        return { startedAt: this.#clock.monotonic(), current: createPeriod(), previous: createPeriod() };
    }
}

function createPeriod(): Histogram {
    return build({
        bitBucketSize: 32,
        highestTrackableValue: maxValue / resolution,
        numberOfSignificantValueDigits: significantDigits,
    });
}

function getHigh(histogram: Histogram): number {
    return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile);
}
