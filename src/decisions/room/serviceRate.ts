/**
 * How often recent requests of one group, such as a priority or a workspace, were served.
 */

/** Time constant in which arrivals and services are forgotten, in milliseconds. */
const memoryMilliseconds = 10_000;

/** Assumed served requests, so that a single refusal says little. */
const assumedServices = 1;

/** Counts the recent requests of a group that were served or turned away. */
export class ServiceRate {
    #requests = 0;
    #services = 0;
    #updatedAt = 0;

    /**
     * Records a request.
     * @param isServed - Whether it was begun; otherwise it was turned away.
     * @param now - Monotonic milliseconds.
     */
    add(isServed: boolean, now: number): void {
        this.#forget(now);
        this.#requests += 1;
        this.#services += isServed ? 1 : 0;
    }

    /** Returns the share of requests that were served. */
    get(): number {
        return (this.#services + assumedServices) / (this.#requests + assumedServices);
    }

    /** Returns the number of recent requests, which is less the older they are. */
    getRequests(now: number): number {
        this.#forget(now);
        return this.#requests;
    }

    /** Returns the number of recent requests that were served, which is less the older they are. */
    getServices(now: number): number {
        this.#forget(now);
        return this.#services;
    }

    /** Returns the requests a millisecond. */
    getRequestsPerMillisecond(now: number): number {
        this.#forget(now);
        return this.#requests / memoryMilliseconds;
    }

    #forget(now: number): void {
        if (now <= this.#updatedAt) {
            return;
        }
        const weight = Math.exp((this.#updatedAt - now) / memoryMilliseconds);
        this.#requests *= weight;
        this.#services *= weight;
        this.#updatedAt = now;
    }
}
