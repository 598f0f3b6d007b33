/**
 * Failure domains that the operator has evacuated: their upstreams get no new requests until the evacuation ends.
 */
import type { Clock } from "../common/index.js";

/** Tracks the evacuated failure domains. */
export class Evacuations {
    readonly #clock: Clock;
    /** Monotonic times at which this node learned of the evacuations, by failure domain. */
    readonly #startedAt = new Map<string, number>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds an evacuated failure domain.
     * @returns Whether it was not evacuated before.
     */
    add(failureDomain: string): boolean {
        if (this.#startedAt.has(failureDomain)) {
            return false;
        }
        this.#startedAt.set(failureDomain, this.#clock.monotonic());
        return true;
    }

    /**
     * Ends the evacuation of a failure domain.
     * @returns Its duration in milliseconds, or undefined if the domain was not evacuated.
     */
    remove(failureDomain: string): number | undefined {
        const startedAt = this.#startedAt.get(failureDomain);
        this.#startedAt.delete(failureDomain);
        return startedAt === undefined ? undefined : this.#clock.monotonic() - startedAt;
    }

    /** Returns whether a failure domain is evacuated. */
    has(failureDomain: string): boolean {
        return this.#startedAt.has(failureDomain);
    }

    /** Returns the number of evacuated failure domains. */
    count(): number {
        return this.#startedAt.size;
    }
}
