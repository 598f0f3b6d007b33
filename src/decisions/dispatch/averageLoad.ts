/**
 * Average load that other nodes put on the upstreams of a pool.
 */

/** Weight of the latest report in the moving average, which spans about the last twenty reports. */
const reportWeight = 0.05;

/** Averages the load that the upstreams of one pool report. */
export class AverageLoad {
    /** As a share of an upstream's slots. */
    #load: number | undefined;

    /**
     * Adds a report to the average.
     * @param otherRequests - Requests of other nodes at the upstream.
     * @param slots - Number of slots of the upstream.
     */
    add(otherRequests: number, slots: number): void {
        const load = otherRequests / slots;
        this.#load = this.#load === undefined ? load : this.#load + reportWeight * (load - this.#load);
    }

    /**
     * Returns the average number of requests of other nodes at an upstream; 0 before the first report.
     * @param slots - Number of slots of the upstream.
     */
    getOtherRequests(slots: number): number {
        return (this.#load ?? 0) * slots;
    }
}

/** The average loads of all pools. */
export class AverageLoads {
    readonly #loads = new Map<string, AverageLoad>();

    /**
     * Returns the average load of a pool, which is empty before the first report.
     * @param pool - Name of the pool.
     */
    get(pool: string): AverageLoad {
        let load = this.#loads.get(pool);
        if (load === undefined) {
            load = new AverageLoad();
            this.#loads.set(pool, load);
        }
        return load;
    }
}
