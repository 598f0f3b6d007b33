/**
 * A clock that also counts the time for which the machine was suspended.
 */
import type { Clock } from "./clock.js";

/** A wall clock that gains less than this on the monotonic one only drifts or is being adjusted, in milliseconds. */
const minSuspensionMilliseconds = 250;

/**
 * Adds suspensions to a monotonic clock. The steady clock of the machine stands still while it is suspended, so a belief
 * would seem younger than it is, and a key that was taken away meanwhile would still be accepted. The wall clock goes
 * on, so whatever it gains between two looks counts as suspension. A wall clock that is set forward looks the same: then
 * beliefs seem older than they are until the next read confirms them, which is the safe side.
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

    /** Milliseconds that never go back and include suspensions. */
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

    /** Milliseconds since the Unix epoch. */
    wall(): number {
        return this.#clock.wall();
    }
}
