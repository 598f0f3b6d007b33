/**
 * Retry budget over a sliding window, shared by all nodes without communication.
 */
import type { Clock } from "../../common/index.js";

/** Number of slices of the window, which moves one slice at a time. */
const sliceCount = 20;
/** Slices in memory: those of the window, and those of the half window before it. */
const keptSliceCount = 1.5 * sliceCount;
/** Share of the budget that is used, since the clocks and windows of nodes and of external counters differ by a slice or two. */
const safetyFactor = 0.88;

/**
 * Standard deviations by which one node's count of a part of the window may be below its part of all requests. Without it, a node that gets
 * a request every few seconds would hardly send one again.
 */
const deviationFactor = 1;

/**
 * Share of the retries of a window that its own requests pay for; those of the window that began half a window earlier pay for the rest,
 * since requests may last for seconds before they fail. The shares are the same at all nodes, so what the nodes take adds up to at most
 * what the requests of one of the two windows pay for, whichever nodes they came to.
 */
const ownWindowShare = 0.7;

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
    /** This node's part of the extra, from 0 to 1. */
    readonly share: number;
}

/** Settings of a windowed budget. */
export interface WindowedRetryBudgetOptions {
    /** Must also count the time during which the process is suspended. */
    readonly clock: Clock;
    /** Length of the window in milliseconds. */
    readonly windowMilliseconds: number;
    /** Returns the current allowance. */
    readonly getAllowance: () => RetryAllowance;
    /** Returns this node's part of the extra, from 0 to 1. The parts of all nodes add up to 1 at most. */
    readonly getShare: () => number;
}

interface Slice {
    readonly index: number;
    requests: number;
    retries: number;
}

/** Sums over the newest slices: the element N is the sum over the N newest ones. */
interface Totals {
    readonly requests: readonly number[];
    readonly retries: readonly number[];
}

/**
 * Counts the requests and the retries of one pool. Each node applies the ratio to its own requests, so it also holds for the sum of all
 * nodes, without coordination. When every request fails, the load on the pool is at most (1 + ratio) times the callers' load, apart from
 * the extra. The retries since any earlier time are also compared with fixed shares of the requests of two windows. If each node chose the
 * better of the two, some would be paid by one window while others are paid by the other, as callers move from the ones to the others.
 */
export class WindowedRetryBudget {
    readonly #options: WindowedRetryBudgetOptions;
    /** The earliest slice first. */
    readonly #slices: Slice[] = [];

    constructor(options: WindowedRetryBudgetOptions) {
        this.#options = options;
    }

    /**
     * Records the first attempt of a request. One that waited unread would otherwise pay for retries in a window in which nobody sent it.
     * @param sentAt - Monotonic time at which its caller sent it at the earliest, in milliseconds; by default now.
     */
    addRequest(sentAt = this.#options.clock.monotonic()): void {
        this.#getSlice(this.#getIndex(sentAt)).requests += 1;
    }

    /**
     * Returns the number of retries left in the window.
     * @param newRequests - Requests that are about to be recorded, and that the budget grows with.
     */
    getRemaining(newRequests = 0): number {
        const totals = this.#sumUp(newRequests);
        const { ratio } = this.#options.getAllowance();
        let remaining = ratio * totals.requests[sliceCount] - totals.retries[sliceCount] / safetyFactor;
        for (let length = 1; length <= sliceCount; length += 1) {
            const requests = getPayingRequests(totals, length);
            const tolerated = requests + deviationFactor * Math.sqrt(requests);
            remaining = Math.min(remaining, ratio * tolerated - totals.retries[length] / safetyFactor);
        }
        return safetyFactor * (remaining + this.#getExtra());
    }

    /**
     * Returns the number of retries that are allowed in the window, taken ones among them.
     * @param newRequests - Requests that are about to be recorded.
     */
    getAllowed(newRequests = 0): number {
        const { ratio } = this.#options.getAllowance();
        return safetyFactor * (ratio * this.#sumUp(newRequests).requests[sliceCount] + this.#getExtra());
    }

    /** Returns what the budget counts in its window. */
    getState(): RetryBudgetState {
        const { requests, retries } = this.#sumUp(0);
        return {
            requests: requests[sliceCount],
            retries: retries[sliceCount],
            allowed: this.getAllowed(),
            share: this.#options.getShare(),
        };
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
        this.#getSlice(this.#getCurrentIndex()).retries += 1;
        return true;
    }

    #getExtra(): number {
        return this.#options.getAllowance().extra * this.#options.getShare();
    }

    #sumUp(newRequests: number): Totals {
        const current = this.#getCurrentIndex();
        const requests = [0];
        const retries = [0];
        let position = this.#slices.length - 1;
        for (let age = 0; age < keptSliceCount; age += 1) {
            const slice = this.#slices[position]?.index === current - age ? this.#slices[position--] : undefined;
            requests.push(requests[age] + (slice?.requests ?? 0) + (age === 0 ? newRequests : 0));
            retries.push(retries[age] + (slice?.retries ?? 0));
        }
        return { requests, retries };
    }

    /** Returns a slice, which is created if there is none yet. */
    #getSlice(index: number): Slice {
        this.#removeExpired();
        let position = this.#slices.length;
        while (position > 0 && this.#slices[position - 1].index > index) {
            position -= 1;
        }
        const known = this.#slices.at(position - 1);
        if (position > 0 && known?.index === index) {
            return known;
        }
        const slice = { index, requests: 0, retries: 0 };
        this.#slices.splice(position, 0, slice);
        return slice;
    }

    #removeExpired(): void {
        const lastExpired = this.#getCurrentIndex() - keptSliceCount;
        while (this.#slices.length > 0 && this.#slices[0].index <= lastExpired) {
            this.#slices.shift();
        }
    }

    #getCurrentIndex(): number {
        return this.#getIndex(this.#options.clock.monotonic());
    }

    #getIndex(milliseconds: number): number {
        return Math.floor(milliseconds / (this.#options.windowMilliseconds / sliceCount));
    }
}

/**
 * Returns the requests that pay for the retries of a window.
 * @param totals - The sums.
 * @param length - Slices since the start of the window, the current one among them.
 */
function getPayingRequests({ requests }: Totals, length: number): number {
    const half = keptSliceCount - sliceCount;
    const own = requests[length];
    const halfEarlier = requests[length + half] - requests[Math.max(0, length - half)];
    return ownWindowShare * own + (1 - ownWindowShare) * halfEarlier;
}
