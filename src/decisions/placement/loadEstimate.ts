/**
 * Estimate of one runner's load: the entry's own requests, which it counts exactly, and the requests of other entries, which it
 * takes from delayed reports.
 */
import type { LoadReport } from "../../world/index.js";

const historyLength = 32;
/** A report that is older than the last one is accepted if none was accepted for this long, since the runner's clock was set back. */
const clockResetMilliseconds = 10_000;
/** Rate at which the minimum clock offset rises, so that the estimate follows clock drift. */
const clockDriftShare = 0.001;

/** Estimates the load of one runner for one entry. */
export class LoadEstimate {
    /** Both arrays grow on demand, since an entry uses few of up to 2,100 runners. */
    readonly #historyTimes: number[] = [];
    readonly #historyCounts: number[] = [];
    #nextHistoryIndex = 0;
    #ownRequests = 0;
    #otherRequestsAtMeasurement = 0;
    #measuredAt = Number.NEGATIVE_INFINITY;
    #reportedAt = Number.NEGATIVE_INFINITY;
    #acceptedAt = Number.NEGATIVE_INFINITY;
    #answeredAt: number | undefined;
    #clockOffset = Number.POSITIVE_INFINITY;
    #capacity: number;

    /** @param capacity - Capacity that is assumed until the first report. */
    constructor(capacity: number) {
        this.#capacity = capacity;
    }

    /** Returns the number of requests that the runner can process concurrently. */
    getCapacity(): number {
        return this.#capacity;
    }

    /** Returns the number of this entry's requests on the runner. */
    getOwnRequests(): number {
        return this.#ownRequests;
    }

    /** Returns whether the runner has ever sent a report. */
    isReported(): boolean {
        return this.#acceptedAt !== Number.NEGATIVE_INFINITY;
    }

    /**
     * Changes the number of this entry's requests by one.
     * @param change - 1 or -1.
     * @param now - Monotonic milliseconds.
     */
    changeOwnRequests(change: 1 | -1, now: number): void {
        this.#ownRequests += change;
        this.#historyTimes[this.#nextHistoryIndex % historyLength] = now;
        this.#historyCounts[this.#nextHistoryIndex % historyLength] = this.#ownRequests;
        this.#nextHistoryIndex += 1;
    }

    /**
     * Adds a report, which may be late or out of order.
     *
     * The runner's clock differs from this entry's clock by an unknown offset. The minimum difference between arrival and measurement
     * is used as its estimate; a report with a larger difference is dated back by its additional delay.
     * @returns Whether the report was newer than the last one.
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

    /** Adds the load that was reported with an answer just now. */
    addAnswerLoad(load: number, capacity: number, now: number): void {
        this.#answeredAt = now;
        this.#applyMeasurement(load, capacity, now);
    }

    /** Returns when load was last reported with an answer, in monotonic milliseconds. */
    getAnsweredAt(): number | undefined {
        return this.#answeredAt;
    }

    /** Returns the number of other entries' requests at the time of the last measurement. */
    getOtherRequestsAtMeasurement(): number {
        return this.#otherRequestsAtMeasurement;
    }

    /**
     * Estimates the current number of other entries' requests. A recent report counts fully; an old one decays to the average of the
     * pool, since other entries decide by the same delayed reports and correct the load in the same way.
     * @param now - Monotonic milliseconds.
     * @param poolAverage - Average number of other entries' requests on a runner of this capacity.
     * @param lifetime - Time constant of the decay, in milliseconds.
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
        const earliestIndex = Math.max(0, this.#nextHistoryIndex - historyLength);
        for (let index = this.#nextHistoryIndex - 1; index >= earliestIndex; index -= 1) {
            if (this.#historyTimes[index % historyLength] <= time) {
                return this.#historyCounts[index % historyLength];
            }
        }
        return earliestIndex === 0 ? 0 : this.#historyCounts[earliestIndex % historyLength];
    }
}
