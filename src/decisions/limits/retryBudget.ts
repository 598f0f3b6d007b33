/**
 * A budget for retries: a fixed part of the requests, so that retries can't multiply a failure.
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
    /** Retries that each request pays for; 0.1 allows one in ten. */
    readonly ratio: number;
    /** Most retries that can be saved up. */
    readonly burst: number;
}

const defaultRetryBudgetOptions: RetryBudgetOptions = { ratio: 0.1, burst: 10 };

/** Counts requests in and retries out. */
export class RetryBudget {
    readonly #options: RetryBudgetOptions;
    #tokens: number;

    constructor(options: Partial<RetryBudgetOptions> = {}) {
        this.#options = { ...defaultRetryBudgetOptions, ...options };
        this.#tokens = this.#options.burst;
    }

    /** Returns how many retries are left. */
    getLeft(): number {
        return Math.floor(this.#tokens);
    }

    /** Notes a first attempt, which pays a part of a retry. */
    addRequest(): void {
        this.#tokens = Math.min(this.#options.burst, this.#tokens + this.#options.ratio);
    }

    /**
     * Takes a retry or hedge out of the budget.
     * @returns Whether there was one; if not, the failure is to be passed on.
     */
    take(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
