/**
 * Permission to process one request.
 */
import type { Release } from "./admission.js";

/** Represents a slot that is held until it is released. */
export class Ticket {
    /** Time that the request waited for its slot. */
    readonly waitedMilliseconds: number;
    /**
     * Priority that is sent to the upstream. It is more urgent than the request's own while its workspace is below its share, since
     * the queue inside an upstream does not distinguish workspaces.
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

    /** Releases the slot. Further calls have no effect, since `error` and `close` events often occur together. */
    release(release: Release): void {
        const onRelease = this.#release;
        this.#release = undefined;
        onRelease?.(release);
    }
}
