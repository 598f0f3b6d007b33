/**
 * Aggregates the records of a run into histograms and counts.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { LoadRecord } from "./loadClient.js";
import { type Distribution, type LoadResult, loadResultFormat, type LoadSecond } from "./loadResult.js";

const microsecondsPerMillisecond = 1000;
const millisecondsPerSecond = 1000;
const significantDigits = 3;
/** Percentiles of the curve, denser towards the slowest requests. */
const curvePercentiles: readonly number[] = [0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.99, 100];

/** Parameters of a run, as shown in its result. */
export interface RunDescription {
    readonly title: string;
    readonly startedAt: Date;
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly seed: number;
    /**
     * An answer is good when its first token arrives within this time after the intended arrival. Without streaming,
     * the whole answer counts.
     */
    readonly goodFirstTokenMilliseconds: number;
}

/** Aggregates the records of a run. */
export class LoadRecorder {
    readonly #description: RunDescription;
    readonly #firstToken = createHistogram();
    readonly #gap = createHistogram();
    readonly #answer = createHistogram();
    readonly #refusal = createHistogram();
    readonly #sendDelay = createHistogram();
    readonly #firstUse = new Map<string, Histogram>();
    readonly #ends = new Map<string, number>();
    readonly #outcomes = new Map<string, number>();
    readonly #statuses = new Map<string, number>();
    readonly #versions = new Map<string, number>();
    readonly #workspaces = new Map<string, number>();
    readonly #works = new Map<string, number>();
    readonly #timeLine: { -readonly [Key in keyof LoadSecond]: number; }[] = [];
    #requests = 0;
    #attempts = 0;
    #goodAnswers = 0;

    constructor(description: RunDescription) {
        this.#description = description;
    }

    /**
     * Adds a record.
     * @param record - The result of a request.
     */
    add(record: LoadRecord): void {
        const { arrival } = record;
        this.#requests += 1;
        this.#attempts += record.attempts;
        recordTime(this.#sendDelay, record.lateMilliseconds);
        if (record.firstTokenMilliseconds !== undefined) {
            recordTime(this.#firstToken, record.firstTokenMilliseconds);
        }
        for (const gap of record.gaps) {
            recordTime(this.#gap, gap);
        }
        for (const refusal of record.refusals) {
            recordTime(this.#refusal, refusal);
        }
        if (record.end === "answered") {
            recordTime(this.#answer, record.milliseconds);
        }
        this.#addFirstUse(record);
        incrementCount(this.#ends, record.end);
        incrementCount(this.#outcomes, record.outcome ?? "none told");
        incrementCount(this.#statuses, String(record.status));
        incrementCount(this.#workspaces, arrival.work.workspace);
        incrementCount(this.#works, arrival.work.name);
        if (record.version !== undefined) {
            incrementCount(this.#versions, record.version);
        }
        this.#addToTimeLine(record);
    }

    /** Returns the result so far. */
    getResult(): LoadResult {
        const { title, startedAt, ratePerSecond, seconds, seed } = this.#description;
        return {
            format: loadResultFormat,
            title,
            startedAt: startedAt.toISOString(),
            ratePerSecond,
            seconds,
            seed,
            requests: this.#requests,
            tries: this.#attempts,
            goodPerSecond: this.#goodAnswers / seconds,
            distributions: {
                firstToken: summarize(this.#firstToken),
                gap: summarize(this.#gap),
                answer: summarize(this.#answer),
                refusal: summarize(this.#refusal),
                late: summarize(this.#sendDelay),
            },
            firstUse: Object.fromEntries([...this.#firstUse].map(([name, times]) => [name, summarize(times)])),
            ends: toObject(this.#ends),
            outcomes: toObject(this.#outcomes),
            statuses: toObject(this.#statuses),
            versions: toObject(this.#versions),
            workspaces: toObject(this.#workspaces),
            works: toObject(this.#works),
            timeLine: this.#timeLine.map(second => ({ ...second })),
        };
    }

    #addFirstUse(record: LoadRecord): void {
        if (record.end !== "answered") {
            return;
        }
        const { name } = record.arrival.work;
        const histogram = this.#firstUse.get(name) ?? createHistogram();
        this.#firstUse.set(name, histogram);
        recordTime(histogram, getTimeToFirstUse(record));
    }

    #addToTimeLine(record: LoadRecord): void {
        this.#getSecond(record.arrival.at).arrived += 1;
        const second = this.#getSecond(record.arrival.at + record.milliseconds);
        if (record.end === "refused") {
            second.refused += 1;
        }
        else if (record.end !== "answered") {
            second.failed += 1;
        }
        else if (getTimeToFirstUse(record) <= this.#description.goodFirstTokenMilliseconds) {
            second.good += 1;
            this.#goodAnswers += 1;
        }
    }

    #getSecond(milliseconds: number) {
        const index = Math.floor(milliseconds / millisecondsPerSecond);
        while (this.#timeLine.length <= index) {
            this.#timeLine.push({ arrived: 0, good: 0, refused: 0, failed: 0 });
        }
        return this.#timeLine[index];
    }
}

/** Returns the milliseconds until the caller received usable output. */
function getTimeToFirstUse({ firstTokenMilliseconds, milliseconds }: LoadRecord): number {
    return firstTokenMilliseconds ?? milliseconds;
}

function createHistogram(): Histogram {
    return build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: significantDigits });
}

function recordTime(histogram: Histogram, milliseconds: number): void {
    histogram.recordValue(Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond)));
}

function summarize(histogram: Histogram): Distribution {
    const getPercentile = (percentile: number): number => {
        return histogram.totalCount === 0
            ? 0
            : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    };
    return {
        count: histogram.totalCount,
        mean: histogram.totalCount === 0 ? 0 : histogram.mean / microsecondsPerMillisecond,
        p50: getPercentile(50),
        p90: getPercentile(90),
        p95: getPercentile(95),
        p99: getPercentile(99),
        maximum: getPercentile(100),
        curve: histogram.totalCount === 0
            ? []
            : curvePercentiles.map(percentile => [percentile, getPercentile(percentile)]),
    };
}

function incrementCount(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}

function toObject(counts: ReadonlyMap<string, number>): Readonly<Record<string, number>> {
    return Object.fromEntries([...counts].sort(([left], [right]) => left.localeCompare(right)));
}
