/**
 * Retry budget over a sliding window, shared by all nodes without communication.
 */
import type { Clock } from "../../common/index.js";

/** Number of slices of the window, which moves one slice at a time. */
const sliceCount = 20;
/** Share of the budget that is used, since the clocks and windows of nodes and of external counters differ by a slice or two. */
const safetyFactor = 0.88;

/** Number of retries allowed in a window. */
export interface RetryAllowance {
    /** Retries allowed per request in the window. */
    readonly ratio: number;
    /** Additional retries allowed for all nodes together. */
    readonly extra: number;
}

/** What a budget counts in its window, for log lines and metrics. */
export interface RetryBudgetState {
    readonly requests: number;
    readonly retries: number;
    /** Retries that are allowed, taken ones among them. */
    readonly allowed: number;
    /** Number of nodes that the extra is divided among. */
    readonly nodes: number;
}

/** Settings of a windowed budget. */
export interface WindowedRetryBudgetOptions {
    readonly clock: Clock;
    /** Length of the window in milliseconds. */
    readonly windowMilliseconds: number;
    /** Returns the current allowance. */
    readonly getAllowance: () => RetryAllowance;
    /** Returns the number of nodes that may be active; each takes an equal part of the extra. */
    readonly getNodeCount: () => number;
}

interface Slice {
    readonly index: number;
    requests: number;
    retries: number;
}

/**
 * Counts the requests and the retries of one pool. Each node applies the ratio to its own requests, so it also holds for the sum of all
 * nodes, without coordination. When every request fails, the load on the pool is at most (1 + ratio) times the callers' load, apart from
 * the extra.
 */
export class WindowedRetryBudget {
    readonly #options: WindowedRetryBudgetOptions;
    readonly #slices: Slice[] = [];

    constructor(options: WindowedRetryBudgetOptions) {
        this.#options = options;
    }

    /** Records the first attempt of a request. */
    addRequest(): void {
        this.#getSlice().requests += 1;
    }

    /**
     * Returns the number of retries left in the window.
     * @param newRequests - Requests that are about to be recorded, and that the budget grows with.
     */
    getRemaining(newRequests = 0): number {
        let retries = 0;
        for (const slice of this.#getSlices()) {
            retries += slice.retries;
        }
        return this.getAllowed(newRequests) - retries;
    }

    /**
     * Returns the number of retries that are allowed in the window, taken ones among them.
     * @param newRequests - Requests that are about to be recorded.
     */
    getAllowed(newRequests = 0): number {
        let requests = newRequests;
        for (const slice of this.#getSlices()) {
            requests += slice.requests;
        }
        const { ratio, extra } = this.#options.getAllowance();
        const nodes = Math.max(1, this.#options.getNodeCount());
        return safetyFactor * (ratio * requests + extra / nodes);
    }

    /** Returns what the budget counts in its window. */
    getState(): RetryBudgetState {
        let requests = 0;
        let retries = 0;
        for (const slice of this.#getSlices()) {
            requests += slice.requests;
            retries += slice.retries;
        }
        return { requests, retries, allowed: this.getAllowed(), nodes: this.#options.getNodeCount() };
    }

    /**
     * Takes a retry from the budget.
     * @param reserve - Retries that are reserved for more important requests.
     * @returns Whether there was one.
     */
    tryAcquire(reserve = 0): boolean {
        if (this.getRemaining() - reserve < 1) {
            return false;
        }
        this.#getSlice().retries += 1;
        return true;
    }

    #getSlice(): Slice {
        const index = this.#getIndex();
        let slice = this.#slices.at(-1);
        if (slice === undefined || slice.index !== index) {
            slice = { index, requests: 0, retries: 0 };
            this.#slices.push(slice);
        }
        return slice;
    }

    /** Returns the slices of the window. */
    #getSlices(): readonly Slice[] {
        const lastExpired = this.#getIndex() - sliceCount;
        while (this.#slices.length > 0 && this.#slices[0].index <= lastExpired) {
            this.#slices.shift();
        }
        return this.#slices;
    }

    #getIndex(): number {
        return Math.floor(this.#options.clock.monotonic() / (this.#options.windowMilliseconds / sliceCount));
    }
}
