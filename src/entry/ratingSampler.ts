/**
 * Samples finished answers for the rating service, within a rate limit.
 */
import type { Clock } from "../common/index.js";

/** Ratings that can accumulate, in seconds of the rate. */
const burstSeconds = 5;

/**
 * Samples answers with a token bucket: all of them at a low rate of answers, and a limited rate of them at a high one.
 */
export class RatingSampler {
    readonly #clock: Clock;
    readonly #ratingsPerSecond: number;
    #availableRatings: number;
    #refilledAt: number;

    constructor(clock: Clock, ratingsPerSecond: number) {
        this.#clock = clock;
        this.#ratingsPerSecond = ratingsPerSecond;
        this.#availableRatings = ratingsPerSecond * burstSeconds;
        this.#refilledAt = clock.monotonic();
    }

    /** Returns whether the next finished answer should be rated, and takes a rating from the bucket if so. */
    take(): boolean {
        const now = this.#clock.monotonic();
        const refill = (now - this.#refilledAt) / 1000 * this.#ratingsPerSecond;
        this.#availableRatings = Math.min(this.#ratingsPerSecond * burstSeconds, this.#availableRatings + refill);
        this.#refilledAt = now;
        if (this.#availableRatings < 1) {
            return false;
        }
        this.#availableRatings -= 1;
        return true;
    }
}
