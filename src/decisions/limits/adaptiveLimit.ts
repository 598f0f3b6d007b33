/**
 * Adaptive concurrency limit: the capacity of the upstreams, or less when answers slow down or fail.
 */
import type { LimitOptions } from "./options.js";

/** Smoothing factors by which a window's median lowers or raises the usual time to first token. */
const fallSmoothing = 0.3;
const riseSmoothing = 0.02;
const holdSmoothing = 0.05;
/** A smaller increase of the time to first token is noise, whatever its ratio. */
const noiseMilliseconds = 100;
const initialHoldMilliseconds = 2_000;
/** Minimum utilization for an increase of the limit. Below it, nothing shows that the upstreams can serve more. */
const minUtilization = 0.8;

/** Concurrency limit that adapts to measured latency and failures. */
export class AdaptiveLimit {
    readonly #options: LimitOptions;
    #capacity = 1;
    #limit = 1;
    #isSeeded = false;
    #windowStart = 0;
    #firstTokens: number[] = [];
    #answers = 0;
    #failures = 0;
    #maxInFlight = 0;
    #smoothedFirstTokenMilliseconds: number | undefined;
    #holdMilliseconds = initialHoldMilliseconds;

    constructor(options: LimitOptions) {
        this.#options = options;
    }

    /** Returns the limit, in concurrent requests. */
    get(): number {
        return Math.max(1, Math.round(this.#limit));
    }

    /** Returns the capacity that the limit is based on. */
    getCapacity(): number {
        return this.#capacity;
    }

    /** Returns the smoothed time to first token, or undefined before the first measurement. */
    getSmoothedFirstTokenMilliseconds(): number | undefined {
        return this.#smoothedFirstTokenMilliseconds;
    }

    /** Returns the number of requests that end per millisecond when the limit is fully used. */
    getCompletionsPerMillisecond(): number {
        return this.get() / this.#holdMilliseconds;
    }

    /**
     * Sets this entry's share of the upstreams' capacity. The limit is scaled in proportion.
     * @param requests - Capacity in concurrent requests.
     */
    setCapacity(requests: number): void {
        const capacity = Math.max(1, requests);
        this.#limit = this.#isSeeded ? this.#limit * capacity / this.#capacity : capacity;
        this.#capacity = capacity;
        this.#isSeeded = true;
    }

    /** Records the number of requests in flight. */
    recordInFlight(inFlight: number): void {
        this.#maxInFlight = Math.max(this.#maxInFlight, inFlight);
    }

    /**
     * Adds an answer, and adjusts the limit at the end of a window.
     * @param answer - Time to first token of the answer, how long it held its slot, and whether the upstreams failed.
     * @param now - Monotonic milliseconds.
     * @returns Whether the limit changed.
     */
    addAnswer(
        answer: {
            readonly firstTokenMilliseconds: number | undefined;
            readonly holdMilliseconds: number;
            readonly hasFailed: boolean;
        },
        now: number,
    ): boolean {
        this.#answers += 1;
        this.#failures += answer.hasFailed ? 1 : 0;
        if (!answer.hasFailed) {
            this.#holdMilliseconds += holdSmoothing * (answer.holdMilliseconds - this.#holdMilliseconds);
        }
        if (answer.firstTokenMilliseconds !== undefined) {
            this.#firstTokens.push(answer.firstTokenMilliseconds);
        }
        const isFull = this.#answers >= this.#options.minWindowAnswers;
        if (!isFull || now - this.#windowStart < this.#options.windowMilliseconds) {
            return false;
        }
        const previousLimit = this.get();
        this.#closeWindow();
        this.#windowStart = now;
        return this.get() !== previousLimit;
    }

    #closeWindow(): void {
        const median = getMedian(this.#firstTokens);
        const excess = this.#getExcess(median);
        if (excess > 1) {
            this.#limit *= Math.max(1 - this.#options.maxDecrease, 1 / excess);
        }
        else if (this.#maxInFlight >= minUtilization * this.#limit) {
            this.#limit += this.#options.increase * this.#capacity;
        }
        this.#clamp();
        this.#updateSmoothedFirstToken(median);
        this.#firstTokens = [];
        this.#answers = 0;
        this.#failures = 0;
        this.#maxInFlight = 0;
    }

    /** Returns the ratio of the window's failures or latency to the tolerance. Above 1, the limit has to be lowered. */
    #getExcess(median: number | undefined): number {
        const failureExcess = this.#failures / this.#answers / this.#options.failureTolerance;
        if (median === undefined || this.#smoothedFirstTokenMilliseconds === undefined) {
            return failureExcess;
        }
        const toleratedMilliseconds = this.#smoothedFirstTokenMilliseconds * this.#options.latencyTolerance
            + noiseMilliseconds;
        return Math.max(failureExcess, median / toleratedMilliseconds);
    }

    #updateSmoothedFirstToken(median: number | undefined): void {
        if (median === undefined) {
            return;
        }
        const previous = this.#smoothedFirstTokenMilliseconds ?? median;
        this.#smoothedFirstTokenMilliseconds = previous
            + (median < previous ? fallSmoothing : riseSmoothing) * (median - previous);
    }

    #clamp(): void {
        const min = this.#options.minLimitShare * this.#capacity;
        const max = this.#options.maxLimitShare * this.#capacity;
        this.#limit = Math.min(max, Math.max(min, this.#limit));
    }
}

function getMedian(values: number[]): number | undefined {
    values.sort((left, right) => left - right);
    return values[Math.floor(values.length / 2)];
}
