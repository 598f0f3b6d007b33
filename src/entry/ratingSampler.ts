/**
 * Decides which finished answers are sent to the rating service, within a rate.
 */
import type { Clock } from "../common/index.js";

/** Ratings that can be saved up, in seconds' worth. */
const burstSeconds = 5;

/** Samples answers: all of them while there are few, and a bounded rate of them when there are many. */
export class RatingSampler {
    readonly #clock: Clock;
    readonly #ratingsPerSecond: number;
    #availableRatings: number;
    #refilledAt: number;

    constructor(clock: Clock, perSecond: number) {
        this.#clock = clock;
        this.#ratingsPerSecond = perSecond;
        this.#availableRatings = perSecond * burstSeconds;
        this.#refilledAt = clock.monotonic();
    }

    /** Tells whether the next finished answer should be rated. */
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
