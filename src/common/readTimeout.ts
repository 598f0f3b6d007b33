/**
 * A timeout that waits for nothing that has arrived in time.
 */

/**
 * Expires after a time, and after everything has been read that arrived until then. A process that was paused or overloaded runs its
 * timers before it reads what arrived meanwhile, and would take sound peers for silent ones.
 */
export class ReadTimeout {
    readonly #timer: NodeJS.Timeout;
    #immediate: NodeJS.Immediate | undefined;

    /**
     * @param milliseconds - Time until it expires.
     * @param expire - Called when it expires.
     */
    constructor(milliseconds: number, expire: () => void) {
        this.#timer = setTimeout(() => {
            this.#immediate = setImmediate(expire);
        }, milliseconds);
    }

    /** Starts the time anew. */
    refresh(): void {
        clearImmediate(this.#immediate);
        this.#timer.refresh();
    }

    /** Keeps it from expiring. */
    clear(): void {
        clearTimeout(this.#timer);
        clearImmediate(this.#immediate);
    }
}
