/**
 * Lets work take turns: one piece of it in each turn of the event loop.
 */

/** Admits those that wait one at a time, so that others are served between two of them. */
export class TurnQueue {
    readonly #waiting: (() => void)[] = [];
    #isScheduled = false;

    /** Waits for a turn. */
    wait(): Promise<void> {
        return new Promise(resolve => {
            this.#waiting.push(resolve);
            this.#schedule();
        });
    }

    #schedule(): void {
        if (this.#isScheduled || this.#waiting.length === 0) {
            return;
        }
        this.#isScheduled = true;
        setImmediate(() => {
            this.#isScheduled = false;
            this.#waiting.shift()?.();
            this.#schedule();
        });
    }
}
