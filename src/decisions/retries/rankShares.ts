/**
 * Shares of the priorities among the recent requests of pools.
 */
import type { Clock } from "../../common/index.js";

/** Time in which the weight of a request falls to 1/e. */
const memoryMilliseconds = 10_000;

interface DecayingCount {
    count: number;
    at: number;
}

/** Counts the recent requests of each pool by priority. */
export class RankShares {
    readonly #clock: Clock;
    /** By pool, then by priority. */
    readonly #counts = new Map<string, Map<number, DecayingCount>>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a request.
     * @param pool - Name of the pool.
     * @param priority - Priority of the request; 0 is the most urgent.
     */
    add(pool: string, priority: number): void {
        const counts = this.#counts.get(pool) ?? new Map<number, DecayingCount>();
        this.#counts.set(pool, counts);
        const now = this.#clock.monotonic();
        const previous = counts.get(priority);
        counts.set(priority, { count: 1 + (previous === undefined ? 0 : getDecayed(previous, now)), at: now });
    }

    /**
     * Returns the share of the recent requests of a pool that are more urgent than a priority, 0 to 1.
     * @param pool - Name of the pool.
     * @param priority - The priority; 0 is the most urgent.
     */
    getMoreUrgentShare(pool: string, priority: number): number {
        const now = this.#clock.monotonic();
        let total = 0;
        let moreUrgent = 0;
        for (const [other, entry] of this.#counts.get(pool) ?? []) {
            const count = getDecayed(entry, now);
            total += count;
            moreUrgent += other < priority ? count : 0;
        }
        return total === 0 ? 0 : moreUrgent / total;
    }
}

function getDecayed({ count, at }: DecayingCount, now: number): number {
    return count * Math.exp((at - now) / memoryMilliseconds);
}
