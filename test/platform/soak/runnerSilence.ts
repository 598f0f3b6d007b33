/** The silences of a runner as a whole. */

/** Of the requests that arrive in a silence, one in so many is rejected after it. */
const rejectionInterval = 2;

/** Holds back all that a runner does for a time, as a paused process does. */
export class RunnerSilence {
    #until = 0;
    #waited = 0;

    /** Waits until the silence ends. Returns whether to reject what has waited: a runner that goes on has room for a part of it. */
    async findRejection(): Promise<boolean> {
        if (performance.now() >= this.#until) {
            return false;
        }
        this.#waited += 1;
        const isRejected = this.#waited % rejectionInterval === 0;
        await this.wait(0);
        return isRejected;
    }

    /** Begins a silence, or makes one longer. */
    begin(milliseconds: number): void {
        this.#until = Math.max(this.#until, performance.now() + milliseconds);
    }

    /** Waits for a time, and until the silence ends. */
    async wait(milliseconds: number): Promise<void> {
        const until = performance.now() + milliseconds;
        for (;;) {
            const left = Math.max(until, this.#until) - performance.now();
            if (left <= 0) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, left));
        }
    }
}
