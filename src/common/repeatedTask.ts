/**
 * Runs work repeatedly, with a pause between two runs.
 */

/** Options of a repeated task. */
export interface RepeatedTaskOptions {
    /** The work. It must not throw. */
    readonly run: () => Promise<void> | void;
    /** Pause between two runs, in milliseconds. */
    readonly pauseMilliseconds: number;
}

/** Repeats work without overlapping runs. */
export class RepeatedTask {
    readonly #options: RepeatedTaskOptions;
    #timer: NodeJS.Timeout | undefined;
    #currentRun: Promise<void> | undefined;
    #stopped = true;

    constructor(options: RepeatedTaskOptions) {
        this.#options = options;
    }

    /** Runs the work now, and repeats it until `stop` is called. */
    start(): void {
        this.#stopped = false;
        this.#runOnce();
    }

    /** Stops the repetition, and resolves when a run in progress has ended. */
    async stop(): Promise<void> {
        this.#stopped = true;
        clearTimeout(this.#timer);
        await this.#currentRun;
    }

    #runOnce(): void {
        this.#currentRun = Promise.resolve(this.#options.run()).finally(() => {
            this.#currentRun = undefined;
            if (!this.#stopped) {
                this.#timer = setTimeout(() => this.#runOnce(), this.#options.pauseMilliseconds);
            }
        });
    }
}
