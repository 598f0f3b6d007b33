/**
 * What is usual in a pool of runners; a runner of which little is known is taken to be usual.
 */

const smoothing = 0.05;

/** Running averages over the runners of a pool. */
export class PoolStatistics {
    /** Work of other entries for each place of a runner's capacity. */
    #othersPerPlace = 0;
    #serviceMilliseconds = 1_000;
    /** Time to the first token for each token of prompt to be read, on an idle runner. */
    #tokenMilliseconds = 0.5;
    #logPace = 0;

    /** Returns the usual work of others on a runner. */
    getUsualOthers(capacity: number): number {
        return this.#othersPerPlace * capacity;
    }

    /** Returns how long a request usually takes from dispatch to end. */
    getServiceMilliseconds(): number {
        return this.#serviceMilliseconds;
    }

    /** Returns how long a token of prompt usually takes to be read. */
    getTokenMilliseconds(): number {
        return this.#tokenMilliseconds;
    }

    /** Returns how much slower than expected answers usually come. */
    getPace(): number {
        return Math.exp(this.#logPace);
    }

    /** Notes the work of others on a runner. */
    addOthers(others: number, capacity: number): void {
        this.#othersPerPlace += smoothing * (others / capacity - this.#othersPerPlace);
    }

    /** Notes how long a whole request took. */
    addService(milliseconds: number): void {
        this.#serviceMilliseconds += smoothing * (milliseconds - this.#serviceMilliseconds);
    }

    /** Notes how long the first token of a request that did not have to wait took. */
    addToken(milliseconds: number): void {
        this.#tokenMilliseconds += smoothing * (milliseconds - this.#tokenMilliseconds);
    }

    /** Notes how much slower than expected an answer came. */
    addPace(ratio: number): void {
        this.#logPace += smoothing * (Math.log(ratio) - this.#logPace);
    }
}
