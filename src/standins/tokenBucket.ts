/**
 * The rate limit of the platform's services.
 */
import type { Clock } from "../common/index.js";

/** Allows so many actions a second, and a burst of a quarter of that. */
export class TokenBucket {
    readonly #clock: Clock;
    readonly #getRate: () => number;
    #tokens: number;
    #filledAt: number;

    /**
     * @param clock - Tells the time.
     * @param getRate - Gives the actions that are allowed a second; asked each time.
     */
    constructor(clock: Clock, getRate: () => number) {
        this.#clock = clock;
        this.#getRate = getRate;
        this.#tokens = this.#getBurst();
        this.#filledAt = clock.monotonic();
    }

    /** Takes one action's worth; returns whether the action is allowed. */
    take(): boolean {
        const now = this.#clock.monotonic();
        const filled = this.#tokens + (now - this.#filledAt) / 1000 * this.#getRate();
        this.#tokens = Math.min(this.#getBurst(), filled);
        this.#filledAt = now;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }

    #getBurst(): number {
        return Math.max(1, this.#getRate() / 4);
    }
}
