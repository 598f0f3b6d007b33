/**
 * What an entry believes of one runner's load: its own work, which it knows exactly, and the work of others, which
 * it knows from reports that are late.
 */
import type { LoadReport } from "../../world/index.js";

const historyLength = 32;
/** A report that looks older than the last one is still taken when none came for this long: the clock was set back. */
const clockResetMilliseconds = 10_000;
/** How fast the estimate of the clocks' difference forgets its smallest value, so that drift is followed. */
const clockDriftShare = 0.001;

/** Load of one runner as one entry sees it. */
export class LoadEstimate {
    /** Both grow with use: of 2,100 runners an entry uses few. */
    readonly #historyTimes: number[] = [];
    readonly #historyCounts: number[] = [];
    #historyNext = 0;
    #ownRequests = 0;
    #otherRequestsAtMeasurement = 0;
    #measuredAt = Number.NEGATIVE_INFINITY;
    #reportedAt = Number.NEGATIVE_INFINITY;
    #acceptedAt = Number.NEGATIVE_INFINITY;
    #answeredAt: number | undefined;
    #clockOffset = Number.POSITIVE_INFINITY;
    #capacity: number;

    /** @param capacity - The capacity to assume until a report comes. */
    constructor(capacity: number) {
        this.#capacity = capacity;
    }

    /** Returns how many requests the runner can work on at once. */
    getCapacity(): number {
        return this.#capacity;
    }

    /** Returns how many requests this entry has on the runner. */
    getOwnRequests(): number {
        return this.#ownRequests;
    }

    /** Tells whether the runner has ever reported. */
    isReported(): boolean {
        return this.#acceptedAt !== Number.NEGATIVE_INFINITY;
    }

    /**
     * Counts one request more or less of this entry.
     * @param change - 1 or -1.
     * @param now - Monotonic milliseconds.
     */
    changeOwnRequests(change: 1 | -1, now: number): void {
        this.#ownRequests += change;
        this.#historyTimes[this.#historyNext % historyLength] = now;
        this.#historyCounts[this.#historyNext % historyLength] = this.#ownRequests;
        this.#historyNext += 1;
    }

    /**
     * Takes in a report that may be late or out of order.
     *
     * The runner's clock differs from ours by an unknown amount. The smallest difference seen between arrival and
     * measurement stands for it; a report that took longer is dated back by what it took longer.
     * @returns Whether it was newer than what was known.
     */
    addReport(report: LoadReport, now: number): boolean {
        const isClockReset = now - this.#acceptedAt > clockResetMilliseconds;
        if (report.measuredAt <= this.#reportedAt && !isClockReset) {
            return false;
        }
        const drift = isClockReset ? Number.POSITIVE_INFINITY : (now - this.#acceptedAt) * clockDriftShare;
        this.#clockOffset = Math.min(this.#clockOffset + drift, now - report.measuredAt);
        const measuredAt = report.measuredAt + this.#clockOffset;
        this.#reportedAt = report.measuredAt;
        this.#acceptedAt = now;
        if (measuredAt > this.#measuredAt) {
            this.#applyMeasurement(report.running + report.waiting, report.capacity, measuredAt);
        }
        return true;
    }

    /** Takes in load that came with an answer just now. */
    addAnswerLoad(load: number, capacity: number, now: number): void {
        this.#answeredAt = now;
        this.#applyMeasurement(load, capacity, now);
    }

    /** Returns when load last came with an answer, in monotonic milliseconds. */
    getAnsweredAt(): number | undefined {
        return this.#answeredAt;
    }

    /** Returns the work of others at the time of the measurement. */
    getOtherRequestsAtMeasurement(): number {
        return this.#otherRequestsAtMeasurement;
    }

    /**
     * Estimates the work of others now. A fresh report is believed; an old one fades into what is usual in the pool,
     * since others decide by the same late reports and all correct the same way.
     * @param now - Monotonic milliseconds.
     * @param poolAverage - The usual work of others on a runner of this capacity.
     * @param lifetime - Time constant of the fading, in milliseconds.
     */
    getOtherRequests(now: number, poolAverage: number, lifetime: number): number {
        const reportWeight = Math.exp(-(now - this.#measuredAt) / lifetime);
        return reportWeight * this.#otherRequestsAtMeasurement + (1 - reportWeight) * poolAverage;
    }

    #applyMeasurement(load: number, capacity: number, measuredAt: number): void {
        this.#otherRequestsAtMeasurement = Math.max(0, load - this.#getOwnRequestsAt(measuredAt));
        this.#measuredAt = measuredAt;
        this.#capacity = Math.max(1, capacity);
    }

    #getOwnRequestsAt(time: number): number {
        const oldest = Math.max(0, this.#historyNext - historyLength);
        for (let index = this.#historyNext - 1; index >= oldest; index -= 1) {
            if (this.#historyTimes[index % historyLength] <= time) {
                return this.#historyCounts[index % historyLength];
            }
        }
        return oldest === 0 ? 0 : this.#historyCounts[oldest % historyLength];
    }
}
