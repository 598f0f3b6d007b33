/**
 * Load of one pool, as this node believes it from the reports of its upstreams.
 */

/** An upstream whose load is reported. */
export interface LoadedUpstream {
    readonly id: string;
    /** Number of requests that it processes concurrently. */
    readonly slots: number;
}

/** What an upstream reports of itself. */
export interface LoadStatement {
    /** Running and waiting requests of all nodes. */
    readonly requests: number;
    readonly slots: number;
}

/** Believed load of a pool. */
export interface BelievedLoad {
    /** Requests of all nodes at the available upstreams. */
    readonly requests: number;
    readonly slots: number;
    /** Requests that may be there so that a slot that becomes free finds one: the slots, and some that wait. */
    readonly allowance: number;
}

/** Age of the latest report from which the load counts as unknown, in milliseconds. */
const maxReportAgeMilliseconds = 2_000;
/** Weight of a report in the average load; more after a pause. */
const reportWeight = 0.15;
const reportMemoryMilliseconds = 1_000;
/** Requests that may wait at an upstream, for each square root of its slots: random arrivals vary by about that. */
const waitingPerRootOfSlots = 2;
/** Weight of the latest measurement in the mean times; the first ones weigh more. */
const timeWeight = 0.05;
/** Time constant of the smoothed number of own requests, in service times. */
const smoothingServices = 4;
const minSmoothingMilliseconds = 500;

/** Moving average whose first values weigh more. */
class MeanTime {
    #count = 0;
    #mean = 0;

    add(milliseconds: number): void {
        this.#count += 1;
        this.#mean += Math.max(timeWeight, 1 / this.#count) * (milliseconds - this.#mean);
    }

    get(initial: number): number {
        return this.#count === 0 ? initial : this.#mean;
    }
}

/**
 * Averages the reports of the upstreams of one pool, and counts this node's own requests there. Single reports vary too much to tell
 * whether a pool is full.
 */
export class PoolLoad {
    readonly #ownRequests = new Map<string, number>();
    readonly #services = new MeanTime();
    readonly #heads = new MeanTime();
    /** Requests of other nodes as a share of the slots. */
    #othersLoad = 0;
    #reportedAt = Number.NEGATIVE_INFINITY;
    /** This node's requests at the available upstreams. */
    #inFlight = 0;
    #availableIds: ReadonlySet<string> = new Set();
    #smoothedInFlight = 0;
    #smoothedAt = 0;
    #capacity: { readonly available: readonly LoadedUpstream[]; readonly slots: number; readonly allowance: number; } =
        {
            available: [],
            slots: 0,
            allowance: 0,
        };

    /**
     * Adds what an upstream reports with an answer or a rejection. A report of one that is not available is ignored.
     * @param id - Identifier of the upstream.
     * @param load - Its load.
     * @param now - Monotonic milliseconds.
     */
    addReport(id: string, { requests, slots }: LoadStatement, now: number): void {
        if (!this.#isCounted(id)) {
            return;
        }
        const load = Math.max(0, requests - (this.#ownRequests.get(id) ?? 0)) / slots;
        const weight = Math.max(reportWeight, 1 - Math.exp((this.#reportedAt - now) / reportMemoryMilliseconds));
        this.#othersLoad += weight * (load - this.#othersLoad);
        this.#reportedAt = now;
    }

    /** Records that this node sends a request to an upstream. */
    start(id: string, now: number): void {
        this.#smooth(now);
        this.#inFlight += this.#isCounted(id) ? 1 : 0;
        this.#ownRequests.set(id, (this.#ownRequests.get(id) ?? 0) + 1);
    }

    /**
     * Records the end of a request.
     * @param id - Identifier of the upstream.
     * @param now - Monotonic milliseconds.
     */
    end(id: string, now: number): void {
        this.#smooth(now);
        this.#inFlight -= this.#isCounted(id) ? 1 : 0;
        const left = (this.#ownRequests.get(id) ?? 0) - 1;
        if (left > 0) {
            this.#ownRequests.set(id, left);
        }
        else {
            this.#ownRequests.delete(id);
        }
    }

    /**
     * Records how long an upstream held a request that it served. A part of it was spent waiting for a slot if the pool was full.
     * @param holdMilliseconds - Time from the sending to the end of the answer.
     * @param occupancy - Requests of all nodes as a share of the slots.
     */
    addHoldTime(holdMilliseconds: number, occupancy: number): void {
        this.#services.add(holdMilliseconds / Math.max(1, occupancy));
    }

    /** Records the time from the sending of a request to the head of its answer. */
    addHeadTime(milliseconds: number): void {
        this.#heads.add(milliseconds);
    }

    /**
     * Returns the expected time that an upstream holds a request.
     * @param occupancy - Requests of all nodes as a share of the slots.
     * @param initial - Assumed service time before the first measurement, in milliseconds.
     */
    getHoldMilliseconds(occupancy: number, initial: number): number {
        return Math.max(1, this.#services.get(initial)) * Math.max(1, occupancy);
    }

    /** Returns the mean time to the head of an answer, or 0 before the first measurement. */
    getHeadMilliseconds(): number {
        return this.#heads.get(0);
    }

    /** Returns this node's smoothed requests in flight. */
    getSmoothedInFlight(now: number): number {
        this.#smooth(now);
        return this.#smoothedInFlight;
    }

    /**
     * Returns the believed load, or undefined when no recent report is known or no upstream is available.
     * @param available - The available upstreams of the pool; the same array until they change.
     * @param now - Monotonic milliseconds.
     */
    get(available: readonly LoadedUpstream[], now: number): BelievedLoad | undefined {
        return now - this.#reportedAt > maxReportAgeMilliseconds ? undefined : this.getLatest(available);
    }

    /** Returns the load by the latest reports, however old, or undefined when there is none or no upstream is available. */
    getLatest(available: readonly LoadedUpstream[]): BelievedLoad | undefined {
        if (available.length === 0 || this.#reportedAt === Number.NEGATIVE_INFINITY) {
            return undefined;
        }
        if (this.#capacity.available !== available) {
            this.#capacity = { available, ...getCapacity(available) };
            this.#availableIds = new Set(available.map(({ id }) => id));
            this.#inFlight = this.#countOwnRequests();
        }
        const { slots, allowance } = this.#capacity;
        return { requests: this.#othersLoad * slots + this.#inFlight, slots, allowance };
    }

    /** Returns whether an upstream is available; all are until the available ones are known. */
    #isCounted(id: string): boolean {
        return this.#availableIds.size === 0 || this.#availableIds.has(id);
    }

    #countOwnRequests(): number {
        let count = 0;
        for (const id of this.#availableIds) {
            count += this.#ownRequests.get(id) ?? 0;
        }
        return count;
    }

    #smooth(now: number): void {
        const service = this.getHoldMilliseconds(1, 1);
        const timeConstant = Math.max(minSmoothingMilliseconds, smoothingServices * service);
        const weight = 1 - Math.exp((this.#smoothedAt - now) / timeConstant);
        this.#smoothedInFlight += weight * (this.#inFlight - this.#smoothedInFlight);
        this.#smoothedAt = now;
    }
}

function getCapacity(available: readonly LoadedUpstream[]): { readonly slots: number; readonly allowance: number; } {
    let slots = 0;
    let allowance = 0;
    for (const upstream of available) {
        slots += upstream.slots;
        allowance += upstream.slots + waitingPerRootOfSlots * Math.sqrt(upstream.slots);
    }
    return { slots, allowance };
}
