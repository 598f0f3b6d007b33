/**
 * Average ratio of measured to expected response times.
 */

/**
 * Weight of the latest answer in the average ratio of measured to expected response times, and the upper bound of a single ratio. When
 * other nodes overload a whole pool, all expected times are too low. Its runners are then slow, not unavailable, and giving up on them
 * would add to the overload.
 */
const ratioWeight = 0.06;
const maxRatio = 8;
/** Lower bound of the expected time in the ratio, in milliseconds: shorter times say little about overload. */
const minExpectedMilliseconds = 80;

/** Averages the ratio over the latest answers. */
export class WaitRatio {
    #ratio = 1;

    /**
     * Adds an answer.
     * @param milliseconds - Measured time.
     * @param expectedMilliseconds - Expected time.
     */
    add(milliseconds: number, expectedMilliseconds: number): void {
        const ratio = Math.min(maxRatio, milliseconds / Math.max(minExpectedMilliseconds, expectedMilliseconds));
        this.#ratio += ratioWeight * (ratio - this.#ratio);
    }

    /** Returns the average ratio. */
    get(): number {
        return this.#ratio;
    }
}
