/**
 * A clock that includes the time for which the machine was suspended.
 */
import type { Clock } from "./clock.js";

/**
 * Minimum advance of the wall clock over the monotonic clock that counts as a suspension, in milliseconds. A smaller
 * advance is drift or an adjustment of the wall clock.
 */
const minSuspensionMilliseconds = 250;

/**
 * Adds suspensions to a monotonic clock. The monotonic clock of the machine stands still during a suspension. Cached
 * state would then seem younger than it is, and a key that was revoked in the meantime would still be accepted. The
 * wall clock continues, so its advance over the monotonic clock between two calls counts as a suspension. A wall clock
 * that is set forward has the same effect: cached state then seems older than it is until the next read confirms it,
 * which is the safe side.
 */
export class SuspensionClock implements Clock {
    readonly #clock: Clock;
    #lastMonotonic: number;
    #lastWall: number;
    #suspendedMilliseconds = 0;

    /** @param clock - The machine's clocks. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#lastMonotonic = clock.monotonic();
        this.#lastWall = clock.wall();
    }

    /** Returns milliseconds that never go back and include suspensions. */
    monotonic(): number {
        const monotonic = this.#clock.monotonic();
        const wall = this.#clock.wall();
        const wallClockAdvance = wall - this.#lastWall - (monotonic - this.#lastMonotonic);
        if (wallClockAdvance > minSuspensionMilliseconds) {
            this.#suspendedMilliseconds += wallClockAdvance;
        }
        this.#lastMonotonic = monotonic;
        this.#lastWall = wall;
        return monotonic + this.#suspendedMilliseconds;
    }

    /** Returns the milliseconds since the Unix epoch. */
    wall(): number {
        return this.#clock.wall();
    }
}
