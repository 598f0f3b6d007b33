/**
 * Leave to do one piece of work.
 */
import type { Release } from "./admission.js";

/** Holds a place until it is released. */
export class Ticket {
    /** How long the request waited for its place. */
    readonly waitedMilliseconds: number;
    #release: ((release: Release) => void) | undefined;

    /** @internal */
    constructor(waitedMilliseconds: number, release: (release: Release) => void) {
        this.waitedMilliseconds = waitedMilliseconds;
        this.#release = release;
    }

    /** Gives the place back. A second call changes nothing: error and close often arrive together. */
    release(release: Release): void {
        const run = this.#release;
        this.#release = undefined;
        run?.(release);
    }
}
