/**
 * Distributions of the times to the heads of answers, as counts that can be summed over nodes and time slices.
 */

/** Number of time classes. The upper bounds of neighbouring classes differ by a factor of the square root of 2. */
export const timeClassCount = 14;
const classesPerDoubling = 2;

/** Counts by time class. Classes at the end that hold nothing may be missing. */
export type TimeCounts = readonly number[];

/**
 * Returns the class of a time. Class 0 holds all times up to the shortest one that a caller notices.
 * @param milliseconds - The time.
 * @param shortestMilliseconds - The upper bound of class 0.
 */
export function getTimeClass(milliseconds: number, shortestMilliseconds: number): number {
    if (milliseconds <= shortestMilliseconds) {
        return 0;
    }
    const timeClass = Math.ceil(classesPerDoubling * Math.log2(milliseconds / shortestMilliseconds));
    return Math.min(timeClassCount - 1, timeClass);
}

/** Returns counts with one more time in a class. */
export function addTimeClass(counts: TimeCounts, timeClass: number): TimeCounts {
    return addTimeCounts(counts, [...Array<number>(timeClass).fill(0), 1]);
}

/** Sums two distributions. */
export function addTimeCounts(first: TimeCounts, second: TimeCounts): TimeCounts {
    if (first.length === 0 || second.length === 0) {
        return first.length === 0 ? second : first;
    }
    const [longer, shorter] = first.length >= second.length ? [first, second] : [second, first];
    return longer.map((count, index) => index < shorter.length ? count + shorter[index] : count);
}

/** Returns the number of times in all classes above a class. */
export function countAbove(counts: TimeCounts, timeClass: number): number {
    return counts.slice(timeClass + 1).reduce((sum, count) => sum + count, 0);
}

/**
 * Returns the lowest class such that a share of the times lies in it or below.
 * @param counts - The distribution.
 * @param share - The share, from 0 to 1.
 */
export function getQuantileClass(counts: TimeCounts, share: number): number {
    const total = countAbove(counts, -1);
    let sum = 0;
    for (const [timeClass, count] of counts.entries()) {
        sum += count;
        if (sum >= share * total) {
            return timeClass;
        }
    }
    return timeClassCount - 1;
}
