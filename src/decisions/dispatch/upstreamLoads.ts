/**
 * What one node knows of the upstreams: how busy and how slow they are, and how often they fail.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";
import { AverageLoads } from "./averageLoad.js";
import type { Paces } from "./paces.js";
import { UpstreamStatus } from "./upstreamStatus.js";

/** Keeps the status of each upstream, and derives their loads from it. */
export class UpstreamLoads {
    readonly #statuses = new Map<string, UpstreamStatus>();
    readonly #averageLoads = new AverageLoads();
    readonly #paces: Paces | undefined;

    /** @param paces - Knows how long upstreams take for the same work. Without it, all take the same time. */
    constructor(paces: Paces | undefined) {
        this.#paces = paces;
    }

    /** Returns the status of an upstream, or undefined if there is none or it was removed. */
    find(id: string): UpstreamStatus | undefined {
        return this.#statuses.get(id);
    }

    /** Returns the status of an upstream, which is added if there is none. */
    getStatus(id: string): UpstreamStatus {
        let status = this.#statuses.get(id);
        if (status === undefined) {
            status = new UpstreamStatus();
            this.#statuses.set(id, status);
        }
        return status;
    }

    /** Removes the status of an upstream. */
    remove(id: string): void {
        this.#statuses.delete(id);
    }

    /**
     * Records the requests that other nodes have at an upstream of a pool, as it reported them.
     * @param pool - The pool.
     * @param requests - Number of these requests.
     * @param slots - Slots of the upstream.
     */
    addReported(pool: string, requests: number, slots: number): void {
        this.#averageLoads.get(pool).add(requests, slots);
    }

    /** Returns how long an upstream takes for the same work, relative to its pool. */
    getPace(id: string): number {
        return this.#paces?.getPace(id) ?? 1;
    }

    /** Returns how long an upstream takes for work that is sent to it now, relative to its pool. */
    getSlowness(id: string, now: number): number {
        return this.getPace(id) * this.getStatus(id).getSlowdown(now);
    }

    /** Returns the expected number of requests of all nodes at an upstream. */
    getExpectedRequests({ id, pool, slots }: RegisteredUpstream, now: number): number {
        return this.getStatus(id).getExpectedRequests(now, this.#averageLoads.get(pool).getOtherRequests(slots));
    }

    /** Returns the expected number of requests of all nodes at an upstream, relative to its slots. */
    getLoad(upstream: RegisteredUpstream, now: number): number {
        return this.getExpectedRequests(upstream, now) / upstream.slots;
    }

    /** Returns the load with another request, as many times as high as work takes longer there, less the share of the request. */
    getSlowedLoad(upstream: RegisteredUpstream, now: number): number {
        const slowness = this.getSlowness(upstream.id, now);
        return this.getLoad(upstream, now) * slowness + (slowness - 1) / upstream.slots;
    }

    /** Returns the mean failure rate of the pool's other upstreams. Failures that all of them have are not the fault of a single one. */
    getFailureRate(pool: readonly RegisteredUpstream[], except: RegisteredUpstream): number {
        const others = pool.filter(upstream => upstream.id !== except.id);
        let sum = 0;
        for (const upstream of others) {
            sum += this.getStatus(upstream.id).getFailureRate();
        }
        return others.length === 0 ? 1 : sum / others.length;
    }
}
