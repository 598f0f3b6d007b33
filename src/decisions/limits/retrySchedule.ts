/**
 * Retry times of refused callers.
 *
 * With a fixed `Retry-After`, all callers that were refused within one second retry within one second, and most are refused again. This
 * schedule assigns each future second the number of retries that can be served, and each caller the first second with a free slot. The
 * more callers are refused, the later they retry.
 */
import type { RandomSource } from "../../common/index.js";

const defaultSlotMilliseconds = 1_000;

/** Distributes the retries of refused callers over future slots of time. */
export class RetrySchedule {
    readonly #random: RandomSource;
    readonly #slotMilliseconds: number;
    readonly #slotCount: number;
    readonly #counts: Uint32Array;
    readonly #slotSeconds: Float64Array;

    /**
     * @param random - Random source of the time within a second.
     * @param maxMilliseconds - Maximum delay of a retry.
     * @param slotMilliseconds - Length of a slot of time; a second by default.
     */
    constructor(random: RandomSource, maxMilliseconds: number, slotMilliseconds = defaultSlotMilliseconds) {
        this.#random = random;
        this.#slotMilliseconds = slotMilliseconds;
        this.#slotCount = Math.max(2, Math.floor(maxMilliseconds / this.#slotMilliseconds));
        this.#counts = new Uint32Array(this.#slotCount);
        this.#slotSeconds = new Float64Array(this.#slotCount).fill(-1);
    }

    /**
     * Schedules a retry in the first second with a free slot.
     * @param now - Monotonic milliseconds.
     * @param options - Minimum delay, and the number of retries that can be served per second.
     * @returns The delay of the retry, in milliseconds.
     */
    add(now: number, options: { readonly minMilliseconds: number; readonly retriesPerSecond: number; }): number {
        const current = Math.floor(now / this.#slotMilliseconds);
        const minOffset = Math.min(this.#slotCount - 1, Math.ceil(options.minMilliseconds / this.#slotMilliseconds));
        const capacity = Math.max(1, Math.floor(options.retriesPerSecond * this.#slotMilliseconds / 1_000));
        let offset = minOffset;
        while (offset < this.#slotCount - 1 && this.#getCount(current + offset) >= capacity) {
            offset += 1;
        }
        if (offset === this.#slotCount - 1 && this.#getCount(current + offset) >= capacity) {
            // The schedule is full: further retries are distributed evenly over its second half.
            offset = Math.max(minOffset, Math.floor(this.#slotCount * (1 + this.#random.next()) / 2));
        }
        this.#addCount(current + offset);
        const delayMilliseconds = (current + offset + this.#random.next()) * this.#slotMilliseconds - now;
        return Math.min(
            this.#slotCount * this.#slotMilliseconds,
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
