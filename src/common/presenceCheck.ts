/**
 * Whether the peer of a connection may have left without this process knowing yet.
 */
import type { ReadProgress } from "./readProgress.js";

/** Confirms that a peer had not left a moment ago, before work begins on its behalf. */
export class PresenceCheck {
    readonly #progress: ReadProgress;
    /** Time before which everything was read that had arrived at the connection, in milliseconds. */
    #readUntil = Number.NEGATIVE_INFINITY;

    /** @param progress - What the process has read; it must observe this connection's event loop. */
    constructor(progress: ReadProgress) {
        this.#progress = progress;
    }

    /**
     * Lets the process read what has arrived meanwhile, if it has not done so just now. If the peer left, that is known afterwards.
     * @returns Undefined when there is nothing to wait for.
     */
    confirm(): Promise<void> | undefined {
        return this.#progress.isRecent(this.#readUntil) ? undefined : this.#catchUp();
    }

    async #catchUp(): Promise<void> {
        // Of many requests that wait for the same turn, the last ones begin long after it.
        do {
            this.#readUntil = await this.#progress.catchUp();
        }
        while (!this.#progress.isRecent(this.#readUntil));
    }
}
