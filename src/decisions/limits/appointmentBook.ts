/**
 * When refused callers are asked to come back.
 *
 * A fixed `Retry-After` sends everybody who was refused in one second back in one second, where most are refused again.
 * The book gives each second of the future a number of returns that can be served, and asks each caller for the first
 * second that has one left; the more have been refused, the later that is.
 */
import type { RandomSource } from "../../common/index.js";

const slotMilliseconds = 1_000;

/** Spreads the return of refused callers over the seconds to come. */
export class AppointmentBook {
    readonly #random: RandomSource;
    readonly #slots: number;
    readonly #counts: Uint32Array;
    readonly #seconds: Float64Array;

    /**
     * @param random - Draws the moment within a second.
     * @param longestMilliseconds - How far ahead callers are asked to come.
     */
    constructor(random: RandomSource, longestMilliseconds: number) {
        this.#random = random;
        this.#slots = Math.max(2, Math.floor(longestMilliseconds / slotMilliseconds));
        this.#counts = new Uint32Array(this.#slots);
        this.#seconds = new Float64Array(this.#slots).fill(-1);
    }

    /**
     * Gives a caller the first second that has a place left.
     * @param now - Monotonic milliseconds.
     * @param options - The least wait, and how many returns a second can be served.
     * @returns Milliseconds from now.
     */
    add(now: number, options: { readonly leastMilliseconds: number; readonly perSecond: number; }): number {
        const current = Math.floor(now / slotMilliseconds);
        const first = Math.min(this.#slots - 1, Math.ceil(options.leastMilliseconds / slotMilliseconds));
        const places = Math.max(1, Math.floor(options.perSecond));
        let offset = first;
        while (offset < this.#slots - 1 && this.#getCount(current + offset) >= places) {
            offset += 1;
        }
        if (offset === this.#slots - 1 && this.#getCount(current + offset) >= places) {
            // The book is full: the far half takes the rest evenly.
            offset = Math.max(first, Math.floor(this.#slots * (1 + this.#random.next()) / 2));
        }
        this.#addCount(current + offset);
        const moment = (current + offset + this.#random.next()) * slotMilliseconds - now;
        return Math.min(this.#slots * slotMilliseconds, Math.max(options.leastMilliseconds, Math.round(moment)));
    }

    #getCount(second: number): number {
        const slot = second % this.#slots;
        return this.#seconds[slot] === second ? this.#counts[slot] : 0;
    }

    #addCount(second: number): void {
        const slot = second % this.#slots;
        this.#counts[slot] = this.#getCount(second) + 1;
        this.#seconds[slot] = second;
    }
}
