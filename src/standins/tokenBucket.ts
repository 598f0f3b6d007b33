/**
 * Rate limit of the platform's services.
 */
import type { Clock } from "../common/index.js";

/** Allows a number of actions per second, with bursts of up to a quarter of that number. */
export class TokenBucket {
    readonly #clock: Clock;
    readonly #getRate: () => number;
    #tokens: number;
    #refilledAt: number;

    /**
     * @param clock - Time source.
     * @param getRate - Returns the number of actions allowed per second. Called at each use, as the rate may change.
     */
    constructor(clock: Clock, getRate: () => number) {
        this.#clock = clock;
        this.#getRate = getRate;
        this.#tokens = this.#getBurst();
        this.#refilledAt = clock.monotonic();
    }

    /** Takes a token if one is available. Returns whether the action is allowed. */
    tryTake(): boolean {
        const now = this.#clock.monotonic();
        const refilledTokens = this.#tokens + (now - this.#refilledAt) / 1000 * this.#getRate();
        this.#tokens = Math.min(this.#getBurst(), refilledTokens);
        this.#refilledAt = now;
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
