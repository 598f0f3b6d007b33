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
export class RetrySchedule {
    readonly #random: RandomSource;
    readonly #slotCount: number;
    readonly #counts: Uint32Array;
    readonly #slotSeconds: Float64Array;

    /**
     * @param random - Draws the moment within a second.
     * @param maxMilliseconds - How far ahead callers are asked to come.
     */
    constructor(random: RandomSource, maxMilliseconds: number) {
        this.#random = random;
        this.#slotCount = Math.max(2, Math.floor(maxMilliseconds / slotMilliseconds));
        this.#counts = new Uint32Array(this.#slotCount);
        this.#slotSeconds = new Float64Array(this.#slotCount).fill(-1);
    }

    /**
     * Gives a caller the first second that has a place left.
     * @param now - Monotonic milliseconds.
     * @param options - The least wait, and how many returns a second can be served.
     * @returns Milliseconds from now.
     */
    add(now: number, options: { readonly minMilliseconds: number; readonly retriesPerSecond: number; }): number {
        const current = Math.floor(now / slotMilliseconds);
        const minOffset = Math.min(this.#slotCount - 1, Math.ceil(options.minMilliseconds / slotMilliseconds));
        const capacity = Math.max(1, Math.floor(options.retriesPerSecond));
        let offset = minOffset;
        while (offset < this.#slotCount - 1 && this.#getCount(current + offset) >= capacity) {
            offset += 1;
        }
        if (offset === this.#slotCount - 1 && this.#getCount(current + offset) >= capacity) {
            // The book is full: the far half takes the rest evenly.
            offset = Math.max(minOffset, Math.floor(this.#slotCount * (1 + this.#random.next()) / 2));
        }
        this.#addCount(current + offset);
        const delayMilliseconds = (current + offset + this.#random.next()) * slotMilliseconds - now;
        return Math.min(
            this.#slotCount * slotMilliseconds,
            Math.max(options.minMilliseconds, Math.round(delayMilliseconds)),
        );
    }

    #getCount(second: number): number {
        const slot = second % this.#slotCount;
        return this.#slotSeconds[slot] === second ? this.#counts[slot] : 0;
    }

    #addCount(second: number): void {
        const slot = second % this.#slotCount;
        this.#counts[slot] = this.#getCount(second) + 1;
        this.#slotSeconds[slot] = second;
    }
}
