/**
 * Leave to do one piece of work.
 */
import type { Release } from "./admission.js";

/** Holds a place until it is released. */
export class Ticket {
    /** How long the request waited for its place. */
    readonly waitedMilliseconds: number;
    /**
     * The priority to send to the upstream: more urgent than the request's own while its workspace is below its share,
     * since the line inside an upstream knows nothing of workspaces.
     */
    readonly priority: number;
    #release: ((release: Release) => void) | undefined;

    /** @internal */
    constructor(options: {
        readonly waitedMilliseconds: number;
        readonly priority: number;
        readonly release: (release: Release) => void;
    }) {
        this.waitedMilliseconds = options.waitedMilliseconds;
        this.priority = options.priority;
        this.#release = options.release;
    }

    /** Gives the place back. A second call changes nothing: error and close often arrive together. */
    release(release: Release): void {
        const run = this.#release;
        this.#release = undefined;
        run?.(release);
    }
}
