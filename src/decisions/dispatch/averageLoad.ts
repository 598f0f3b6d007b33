/**
 * How crowded the upstreams of a pool usually are with requests of other nodes.
 */

/** Weight of the newest report: about the last twenty count. */
const reportWeight = 0.05;

/** Learns the usual load of one pool from what its upstreams report. */
export class AverageLoad {
    /** In parts of an upstream's slots. */
    #load: number | undefined;

    /**
     * Notes a report.
     * @param otherRequests - Requests of other nodes at the upstream.
     * @param slots - Its slots.
     */
    add(otherRequests: number, slots: number): void {
        const load = otherRequests / slots;
        this.#load = this.#load === undefined ? load : this.#load + reportWeight * (load - this.#load);
    }

    /**
     * Returns the requests of other nodes that an upstream usually has; none before the first report.
     * @param slots - Its slots.
     */
    getOtherRequests(slots: number): number {
        return (this.#load ?? 0) * slots;
    }
}
