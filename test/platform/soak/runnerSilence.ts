/** The silences of a runner as a whole. */

/** Holds back all that a runner does for a time, as a paused process does. */
export class RunnerSilence {
    #until = 0;

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
