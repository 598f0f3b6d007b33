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
const usedShare = 0.8;

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
    #mostInFlight = 0;
    #usual: number | undefined;
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
    getUsualFirstToken(): number | undefined {
        return this.#usual;
    }

    /** Returns how many requests end in a millisecond when the limit is in use. */
    getRate(): number {
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
    addInFlight(inFlight: number): void {
        this.#mostInFlight = Math.max(this.#mostInFlight, inFlight);
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
        const isFull = this.#answers >= this.#options.windowAnswers;
        if (!isFull || now - this.#windowStart < this.#options.windowMilliseconds) {
            return false;
        }
        const before = this.get();
        this.#closeWindow();
        this.#windowStart = now;
        return this.get() !== before;
    }

    #closeWindow(): void {
        const typical = getMedian(this.#firstTokens);
        const excess = this.#getExcess(typical);
        if (excess > 1) {
            this.#limit *= Math.max(1 - this.#options.greatestFall, 1 / excess);
        }
        else if (this.#mostInFlight >= usedShare * this.#limit) {
            this.#limit += this.#options.rise * this.#capacity;
        }
        this.#clamp();
        this.#learnUsual(typical);
        this.#firstTokens = [];
        this.#answers = 0;
        this.#failures = 0;
        this.#mostInFlight = 0;
    }

    /** Returns how far past its tolerance the window was: above 1 means that the limit has to fall. */
    #getExcess(typical: number | undefined): number {
        const failed = this.#failures / this.#answers / this.#options.failureTolerance;
        if (typical === undefined || this.#usual === undefined) {
            return failed;
        }
        const tolerated = this.#usual * this.#options.latencyTolerance + noiseMilliseconds;
        return Math.max(failed, typical / tolerated);
    }

    #learnUsual(typical: number | undefined): void {
        if (typical === undefined) {
            return;
        }
        const usual = this.#usual ?? typical;
        this.#usual = usual + (typical < usual ? fallSmoothing : riseSmoothing) * (typical - usual);
    }

    #clamp(): void {
        const least = this.#options.leastLimitShare * this.#capacity;
        const greatest = this.#options.greatestLimitShare * this.#capacity;
        this.#limit = Math.min(greatest, Math.max(least, this.#limit));
    }
}

function getMedian(values: number[]): number | undefined {
    values.sort((left, right) => left - right);
    return values[Math.floor(values.length / 2)];
}
