/**
 * Retry budget: retries are limited to a fixed share of the requests, so that they cannot multiply the load during a failure.
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
    /** Retries that each request adds to the budget; 0.1 allows one retry per ten requests. */
    readonly ratio: number;
    /** Maximum number of unused retries. */
    readonly burst: number;
}

const defaultRetryBudgetOptions: RetryBudgetOptions = { ratio: 0.1, burst: 10 };

/** Token bucket of retries that is refilled by requests. */
export class RetryBudget {
    readonly #options: RetryBudgetOptions;
    #tokens: number;

    constructor(options: Partial<RetryBudgetOptions> = {}) {
        this.#options = { ...defaultRetryBudgetOptions, ...options };
        this.#tokens = this.#options.burst;
    }

    /** Returns the number of retries left. */
    getRemaining(): number {
        return Math.floor(this.#tokens);
    }

    /** Records a first attempt, which adds a fraction of a retry to the budget. */
    addRequest(): void {
        this.#tokens = Math.min(this.#options.burst, this.#tokens + this.#options.ratio);
    }

    /**
     * Takes a retry or hedged request from the budget.
     * @returns Whether there was one. If not, the failure has to be passed on to the caller.
     */
    tryAcquire(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
