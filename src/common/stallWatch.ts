/**
 * Notices when a process has read nothing from its connections for a while.
 */
import type { Clock } from "./clock.js";
import type { ReadProgress } from "./readProgress.js";

const tickMilliseconds = 200;
/** Time without any sign of the event loop that counts as a stall. */
const minStallMilliseconds = 400;

/** Options of `StallWatch`. */
export interface StallWatchOptions {
    /** Must also count the time during which the process is suspended. */
    readonly clock: Clock;
    readonly readProgress: Pick<ReadProgress, "readArrived">;
    /** Called with the length of each stall, in milliseconds. */
    readonly onStall?: (milliseconds: number) => void;
}

/**
 * Watches for stalls: the process was paused, suspended or busy. What callers sent meanwhile waits in the kernel and is read in one go
 * afterwards, so the time at which it is read says nothing of when it was sent.
 */
export class StallWatch {
    readonly #options: StallWatchOptions;
    /** Start times of the stalls after which not everything has been read yet, the earliest first. */
    #stalls: readonly number[] = [];
    #lastTurnAt: number;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: StallWatchOptions) {
        this.#options = options;
        this.#lastTurnAt = options.clock.monotonic();
    }

    /** Starts to watch. Without it, only calls of `getEarliestArrival` show that the event loop turns. */
    start(): void {
        this.#lastTurnAt = this.#options.clock.monotonic();
        this.#timer = setInterval(() => this.#recordTurn(), tickMilliseconds);
        this.#timer.unref();
    }

    /** Stops watching. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Returns the earliest monotonic time at which something that is read now may have arrived, in milliseconds. */
    getEarliestArrival(): number {
        const now = this.#recordTurn();
        return this.#stalls.at(0) ?? now;
    }

    /** Connections are read before timers run, so the first request after a stall finds it, and not the timer. */
    #recordTurn(): number {
        const now = this.#options.clock.monotonic();
        const milliseconds = now - this.#lastTurnAt;
        if (milliseconds >= minStallMilliseconds) {
            this.#addStall(this.#lastTurnAt);
            this.#options.onStall?.(milliseconds);
        }
        this.#lastTurnAt = now;
        return now;
    }

    #addStall(startedAt: number): void {
        this.#stalls = [...this.#stalls, startedAt];
        void this.#options.readProgress.readArrived().then(() => {
            this.#stalls = this.#stalls.filter(stall => stall !== startedAt);
        });
    }
}
