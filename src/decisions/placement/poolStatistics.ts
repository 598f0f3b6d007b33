/**
 * Averages over the runners of a pool. A runner with little data of its own is assumed to be average.
 */

const smoothing = 0.05;

/** Tracks exponential moving averages over the runners of a pool. */
export class PoolStatistics {
    /** Requests of other entries per slot of a runner's capacity. */
    #otherRequestsPerSlot = 0;
    #serviceMilliseconds = 1_000;
    /** Time to first token per uncached prompt token, on an idle runner. */
    #prefillMillisecondsPerToken = 0.5;
    #logSlowdown = 0;

    /** Returns the average number of other entries' requests on a runner of the given capacity. */
    getAverageOtherRequests(capacity: number): number {
        return this.#otherRequestsPerSlot * capacity;
    }

    /** Returns the average time of a request from dispatch to end. */
    getServiceMilliseconds(): number {
        return this.#serviceMilliseconds;
    }

    /** Returns the average prefill time per prompt token. */
    getPrefillMillisecondsPerToken(): number {
        return this.#prefillMillisecondsPerToken;
    }

    /** Returns the average ratio of measured to expected times to first token. */
    getSlowdown(): number {
        return Math.exp(this.#logSlowdown);
    }

    /** Adds the number of other entries' requests on a runner. */
    addOtherRequests(others: number, capacity: number): void {
        this.#otherRequestsPerSlot += smoothing * (others / capacity - this.#otherRequestsPerSlot);
    }

    /** Adds the duration of a whole request. */
    addServiceTime(milliseconds: number): void {
        this.#serviceMilliseconds += smoothing * (milliseconds - this.#serviceMilliseconds);
    }

    /** Adds the prefill time per prompt token of a request that did not have to wait. */
    addPrefillSample(millisecondsPerToken: number): void {
        this.#prefillMillisecondsPerToken += smoothing * (millisecondsPerToken - this.#prefillMillisecondsPerToken);
    }

    /** Adds the ratio of the measured to the expected time to first token of an answer. */
    addSlowdown(ratio: number): void {
        this.#logSlowdown += smoothing * (Math.log(ratio) - this.#logSlowdown);
    }
}
