/**
 * How far the requests of a pool compete for its room, and what a further attempt of one of them must leave to others.
 */
import type { PoolRoom } from "../room/index.js";
import type { RankShares } from "./rankShares.js";

/** Occupancy from which new requests wait at the upstreams. */
const fullOccupancy = 1;
/** Smaller shares of more urgent requests are remainders of requests that are over. */
const minMoreUrgentShare = 0.01;

/** What the competition for the room of a pool depends on. */
export interface RankedRequest {
    readonly pool: string;
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Time in which its answer should start, in milliseconds. */
    readonly objectiveMilliseconds: number;
}

/** Options of `PoolPressure`. */
export interface PoolPressureOptions {
    /** The room of the pools; without it, each pool has room to spare. */
    readonly room: PoolRoom | undefined;
    /** The priorities of the recent requests. */
    readonly ranks: RankShares;
}

/** Tells how far the requests of pools compete, as one node believes it. */
export class PoolPressure {
    readonly #options: PoolPressureOptions;

    constructor(options: PoolPressureOptions) {
        this.#options = options;
    }

    /** Returns whether new requests wait at the pool's upstreams, or would begin later than their answers should. */
    isFull(request: RankedRequest): boolean {
        const occupancy = this.#options.room?.getOccupancy(request.pool) ?? 0;
        return occupancy >= fullOccupancy || this.getWaitMilliseconds(request) > request.objectiveMilliseconds;
    }

    /** Returns whether the pool is full and more urgent requests than this one use it. */
    mustYield(request: RankedRequest): boolean {
        return this.isFull(request) && this.#getMoreUrgentShare(request) > minMoreUrgentShare;
    }

    /** Returns the expected time until an attempt would begin, in milliseconds; 0 while there is room. */
    getWaitMilliseconds({ pool, priority }: RankedRequest): number {
        return this.#options.room?.getWaitMilliseconds(pool, priority) ?? 0;
    }

    /**
     * Returns the retries that a request leaves to more urgent ones: their share of the budget while the pool is full.
     * @param request - The request.
     * @param allowed - Retries that the budget allows in its window.
     */
    getRetryReserve(request: RankedRequest, allowed: number): number {
        return this.mustYield(request) ? this.#getMoreUrgentShare(request) * allowed : 0;
    }

    #getMoreUrgentShare({ pool, priority }: RankedRequest): number {
        return this.#options.ranks.getMoreUrgentShare(pool, priority);
    }
}
