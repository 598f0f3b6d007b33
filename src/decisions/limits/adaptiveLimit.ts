/**
 * How many requests may be at work at a time: the upstreams' capacity, less when answers slow down or fail.
 */
import type { LimitOptions } from "./options.js";

/** How far a window's typical time moves the usual one, downwards and upwards. */
const fallSmoothing = 0.3;
const riseSmoothing = 0.02;
const holdSmoothing = 0.05;
/** A difference below this is noise at any ratio. */
const noiseMilliseconds = 100;
const initialHoldMilliseconds = 2_000;
/** The limit rises only while it is in use, or it would grow without evidence. */
const minUtilization = 0.8;

/** A limit of concurrency that follows measured latency. */
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

    /** Returns the limit, in requests. */
    get(): number {
        return Math.max(1, Math.round(this.#limit));
    }

    /** Returns the capacity that the limit was seeded from. */
    getCapacity(): number {
        return this.#capacity;
    }

    /** Returns the usual time to the first token, if any came yet. */
    getSmoothedFirstTokenMilliseconds(): number | undefined {
        return this.#smoothedFirstTokenMilliseconds;
    }

    /** Returns how many requests end in a millisecond when the limit is in use. */
    getCompletionsPerMillisecond(): number {
        return this.get() / this.#holdMilliseconds;
    }

    /**
     * Sets the upstreams' capacity that falls to this entry. The limit keeps its proportion to it.
     * @param requests - Requests at a time.
     */
    setCapacity(requests: number): void {
        const capacity = Math.max(1, requests);
        this.#limit = this.#isSeeded ? this.#limit * capacity / this.#capacity : capacity;
        this.#capacity = capacity;
        this.#isSeeded = true;
    }

    /** Notes how many requests are at work. */
    recordInFlight(inFlight: number): void {
        this.#maxInFlight = Math.max(this.#maxInFlight, inFlight);
    }

    /**
     * Notes an answer.
     * @param answer - Its time to the first token, how long it held its place, and whether the upstreams failed it.
     * @param now - Monotonic milliseconds.
     * @returns Whether the limit moved.
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

    /** Returns how far past its tolerance the window was: above 1 means that the limit has to fall. */
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
