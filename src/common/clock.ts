/**
 * Time sources. Code that depends on time takes a `Clock`, so that tests can control the time.
 */
import { performance } from "node:perf_hooks";

/** Provides monotonic and wall-clock time. */
export interface Clock {
    /** Returns milliseconds of a clock that never goes back and that continues while a process is paused. */
    monotonic(): number;
    /** Returns the milliseconds since the Unix epoch. The clock may jump. */
    wall(): number;
}

/** The machine's own clocks. */
export const systemClock: Clock = {
    monotonic: () => performance.now(),
    wall: () => Date.now(),
};

/** A clock that advances only when `advance` is called. */
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
     * Advances the clock.
     * @param milliseconds - Milliseconds by which the clock advances.
     */
    advance(milliseconds: number): void {
        this.#now += milliseconds;
    }
}
