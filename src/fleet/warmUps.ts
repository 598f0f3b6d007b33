/**
 * Upstreams that are warming up. A runner that has just started, or that has lost its state, tolerates only a few requests a second
 * for some time, and crashes at a much higher rate.
 */
import type { Clock } from "../common/index.js";

/** Tracks which upstreams are warming up. */
export class WarmUps {
    readonly #clock: Clock;
    /** Monotonic times at which the warm-up ends according to the upstreams' own records. */
    readonly #reportedEnds = new Map<string, number>();
    /** Monotonic times before which the warm-up does not end, whatever a record reports. */
    readonly #minEnds = new Map<string, number>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Sets the remaining warm-up time that an upstream reported.
     * @param id - The upstream's identifier.
     * @param milliseconds - The remaining time; 0 when the upstream is warm.
     */
    set(id: string, milliseconds: number): void {
        if (milliseconds > 0) {
            this.#reportedEnds.set(id, this.#clock.monotonic() + milliseconds);
        }
        else {
            this.#reportedEnds.delete(id);
        }
    }

    /**
     * Presumes that an upstream warms up for at least some time, although its last record may not show it yet.
     * @param id - The upstream's identifier.
     * @param milliseconds - The minimum time.
     */
    presume(id: string, milliseconds: number): void {
        const end = this.#clock.monotonic() + milliseconds;
        this.#minEnds.set(id, Math.max(end, this.#minEnds.get(id) ?? end));
    }

    /**
     * Removes what is known of an upstream.
     * @param id - The upstream's identifier.
     */
    remove(id: string): void {
        this.#reportedEnds.delete(id);
        this.#minEnds.delete(id);
    }

    /**
     * Returns whether an upstream is warming up.
     * @param id - The upstream's identifier.
     */
    isWarmingUp(id: string): boolean {
        return this.#isBefore(this.#reportedEnds, id) || this.#isBefore(this.#minEnds, id);
    }

    /** Returns the number of upstreams that are warming up. */
    count(): number {
        const ids = new Set([...this.#reportedEnds.keys(), ...this.#minEnds.keys()]);
        return [...ids].filter(id => this.isWarmingUp(id)).length;
    }

    #isBefore(ends: Map<string, number>, id: string): boolean {
        const end = ends.get(id);
        if (end === undefined) {
            return false;
        }
        if (this.#clock.monotonic() < end) {
            return true;
        }
        ends.delete(id);
        return false;
    }
}
