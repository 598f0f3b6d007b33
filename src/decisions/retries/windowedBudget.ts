/**
 * A budget for repeats over a sliding window, shared by all nodes without asking each other.
 */
import type { Clock } from "../../common/index.js";

/** The window is kept in so many slices; it moves on by one at a time. */
const slices = 20;
/** Part of the budget that is used: clocks and windows of nodes and of whoever counts differ by a slice or two. */
const usedShare = 0.88;

/** How many repeats are allowed in a window. */
export interface RepeatAllowance {
    /** Repeats that each request of the window allows. */
    readonly ratio: number;
    /** Repeats that all nodes together may make beyond that. */
    readonly extra: number;
}

/** Settings of a windowed budget. */
export interface WindowedBudgetOptions {
    readonly clock: Clock;
    /** Length of the window in milliseconds. */
    readonly windowMilliseconds: number;
    /** Returns the allowance in force. */
    readonly getAllowance: () => RepeatAllowance;
    /** Returns the number of nodes that may be at work; each takes an equal part of the extra. */
    readonly getNodeCount: () => number;
}

interface Slice {
    readonly index: number;
    requests: number;
    repeats: number;
}

/**
 * Counts the requests and the repeats of one pool. The ratio is kept node by node: what holds for each node's own requests
 * holds for their sum, so it needs no coordination. Under a failure that hits every request, the load on the pool is
 * bounded by (1 + ratio) times the callers' own.
 */
export class WindowedBudget {
    readonly #options: WindowedBudgetOptions;
    readonly #slices: Slice[] = [];

    constructor(options: WindowedBudgetOptions) {
        this.#options = options;
    }

    /** Notes the first sending of a request. */
    addRequest(): void {
        this.#getSlice().requests += 1;
    }

    /** Returns how many repeats are left in the window. */
    getLeft(): number {
        this.#forgetOld();
        let requests = 0;
        let repeats = 0;
        for (const slice of this.#slices) {
            requests += slice.requests;
            repeats += slice.repeats;
        }
        const { ratio, extra } = this.#options.getAllowance();
        const nodes = Math.max(1, this.#options.getNodeCount());
        return usedShare * (ratio * requests + extra / nodes) - repeats;
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
        this.#getSlice().repeats += 1;
        return true;
    }

    #getSlice(): Slice {
        const index = this.#getIndex();
        let slice = this.#slices.at(-1);
        if (slice === undefined || slice.index !== index) {
            slice = { index, requests: 0, repeats: 0 };
            this.#slices.push(slice);
        }
        return slice;
    }

    #forgetOld(): void {
        const oldest = this.#getIndex() - slices;
        while (this.#slices.length > 0 && this.#slices[0].index <= oldest) {
            this.#slices.shift();
        }
    }

    #getIndex(): number {
        return Math.floor(this.#options.clock.monotonic() / (this.#options.windowMilliseconds / slices));
    }
}
