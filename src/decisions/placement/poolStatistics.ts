/**
 * What is usual in a pool of runners; a runner of which little is known is taken to be usual.
 */

const smoothing = 0.05;

/** Running averages over the runners of a pool. */
export class PoolStatistics {
    /** Work of other entries for each place of a runner's capacity. */
    #otherRequestsPerSlot = 0;
    #serviceMilliseconds = 1_000;
    /** Time to the first token for each token of prompt to be read, on an idle runner. */
    #prefillMillisecondsPerToken = 0.5;
    #logSlowdown = 0;

    /** Returns the usual work of others on a runner. */
    getAverageOtherRequests(capacity: number): number {
        return this.#otherRequestsPerSlot * capacity;
    }

    /** Returns how long a request usually takes from dispatch to end. */
    getServiceMilliseconds(): number {
        return this.#serviceMilliseconds;
    }

    /** Returns how long a token of prompt usually takes to be read. */
    getPrefillMillisecondsPerToken(): number {
        return this.#prefillMillisecondsPerToken;
    }

    /** Returns how much slower than expected answers usually come. */
    getSlowdown(): number {
        return Math.exp(this.#logSlowdown);
    }

    /** Notes the work of others on a runner. */
    addOtherRequests(others: number, capacity: number): void {
        this.#otherRequestsPerSlot += smoothing * (others / capacity - this.#otherRequestsPerSlot);
    }

    /** Notes how long a whole request took. */
    addServiceTime(milliseconds: number): void {
        this.#serviceMilliseconds += smoothing * (milliseconds - this.#serviceMilliseconds);
    }

    /** Notes how long the first token of a request that did not have to wait took. */
    addPrefillSample(milliseconds: number): void {
        this.#prefillMillisecondsPerToken += smoothing * (milliseconds - this.#prefillMillisecondsPerToken);
    }

    /** Notes how much slower than expected an answer came. */
    addSlowdown(ratio: number): void {
        this.#logSlowdown += smoothing * (Math.log(ratio) - this.#logSlowdown);
    }
}
