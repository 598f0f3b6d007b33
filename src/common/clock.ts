/**
 * Time sources. Code that decides by time takes a `Clock`, so that tests move time by hand.
 */
import { performance } from "node:perf_hooks";

/** Tells the time in two ways. */
export interface Clock {
    /** Milliseconds on a clock that never goes back. It stands still for nobody: it runs on while a process is paused. */
    monotonic(): number;
    /** Milliseconds since the Unix epoch. It may jump. */
    wall(): number;
}

/** The machine's own clocks. */
export const systemClock: Clock = {
    monotonic: () => performance.now(),
    wall: () => Date.now(),
};

/** A clock that moves only when told to. */
export class ManualClock implements Clock {
    #now: number;

    constructor(startMilliseconds = 0) {
        this.#now = startMilliseconds;
    }

    monotonic(): number {
        return this.#now;
    }

    wall(): number {
        return this.#now;
    }

    /**
     * Moves the clock forward.
     * @param milliseconds - How far.
     */
    advance(milliseconds: number): void {
        this.#now += milliseconds;
    }
}
