/**
 * Room of pools, as one node believes it.
 */

/** Tells how much room the upstreams of a pool have. */
export interface PoolRoom {
    /**
     * Returns the requests that all nodes have at the available upstreams of a pool, as a share of their slots. From 1 on, new
     * requests wait there. Undefined when no recent report is known.
     * @param pool - Name of the pool.
     */
    getOccupancy(pool: string): number | undefined;
    /**
     * Returns the expected time until a new request of a rank would begin at the pool, in milliseconds; 0 while there is room.
     * @param pool - Name of the pool.
     * @param priority - Priority of the request; 0 is the most urgent.
     */
    getWaitMilliseconds(pool: string, priority: number): number;
}
