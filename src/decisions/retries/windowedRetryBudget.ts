/**
 * A budget for repeats over a sliding window, shared by all nodes without asking each other.
 */
import type { Clock } from "../../common/index.js";

/** The window is kept in so many slices; it moves on by one at a time. */
const sliceCount = 20;
/** Part of the budget that is used: clocks and windows of nodes and of whoever counts differ by a slice or two. */
const safetyFactor = 0.88;

/** How many repeats are allowed in a window. */
export interface RetryAllowance {
    /** Repeats that each request of the window allows. */
    readonly ratio: number;
    /** Repeats that all nodes together may make beyond that. */
    readonly extra: number;
}

/** Settings of a windowed budget. */
export interface WindowedRetryBudgetOptions {
    readonly clock: Clock;
    /** Length of the window in milliseconds. */
    readonly windowMilliseconds: number;
    /** Returns the allowance in force. */
    readonly getAllowance: () => RetryAllowance;
    /** Returns the number of nodes that may be at work; each takes an equal part of the extra. */
    readonly getNodeCount: () => number;
}

interface Slice {
    readonly index: number;
    requests: number;
    retries: number;
}

/**
 * Counts the requests and the repeats of one pool. The ratio is kept node by node: what holds for each node's own requests
 * holds for their sum, so it needs no coordination. Under a failure that hits every request, the load on the pool is
 * bounded by (1 + ratio) times the callers' own.
 */
export class WindowedRetryBudget {
    readonly #options: WindowedRetryBudgetOptions;
    readonly #slices: Slice[] = [];

    constructor(options: WindowedRetryBudgetOptions) {
        this.#options = options;
    }

    /** Notes the first sending of a request. */
    addRequest(): void {
        this.#getSlice().requests += 1;
    }

    /** Returns how many repeats are left in the window. */
    getLeft(): number {
        this.#removeExpired();
        let requests = 0;
        let retries = 0;
        for (const slice of this.#slices) {
            requests += slice.requests;
            retries += slice.retries;
        }
        const { ratio, extra } = this.#options.getAllowance();
        const nodes = Math.max(1, this.#options.getNodeCount());
        return safetyFactor * (ratio * requests + extra / nodes) - retries;
    }

    /**
     * Takes a repeat out of the budget.
     * @param reserve - Repeats that are left to more important work.
     * @returns Whether there was one.
     */
    take(reserve = 0): boolean {
        if (this.getLeft() - reserve < 1) {
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

    #removeExpired(): void {
        const lastExpired = this.#getIndex() - sliceCount;
        while (this.#slices.length > 0 && this.#slices[0].index <= lastExpired) {
            this.#slices.shift();
        }
    }

    #getIndex(): number {
        return Math.floor(this.#options.clock.monotonic() / (this.#options.windowMilliseconds / sliceCount));
    }
}
