/**
 * Distributions of the times to the heads of answers, as counts that can be summed over nodes and time slices. Times that were taken
 * under different loads are counted apart, since only equally busy upstreams can be compared.
 */

/** Number of time classes. The upper bounds of neighbouring classes differ by a factor of the square root of 2. */
export const timeClassCount = 14;
const classesPerDoubling = 2;

/** Upper bounds of the load classes, as shares of an upstream's slots. A last class holds all higher loads. */
const maxLoads = [0.125, 0.25, 0.5];
const loadClassCount = maxLoads.length + 1;

/** Counts by time class, those of each load class behind those of the one below. Classes at the end that hold nothing may be missing. */
export type TimeCounts = readonly number[];

/** Returns the class of the load of an upstream. */
export function getLoadClass(load: number): number {
    const loadClass = maxLoads.findIndex(maxLoad => load <= maxLoad);
    return loadClass === -1 ? maxLoads.length : loadClass;
}

/** Returns the counts of each load class, from the lowest load on. */
export function splitByLoad(counts: TimeCounts): readonly TimeCounts[] {
    return Array.from({ length: loadClassCount }, (...[, loadClass]) => {
        return counts.slice(loadClass * timeClassCount, (loadClass + 1) * timeClassCount);
    });
}

/** Puts the counts of the load classes together again. */
export function joinLoads(parts: readonly TimeCounts[]): TimeCounts {
    const last = parts.findLastIndex(part => part.length > 0);
    return parts.slice(0, last + 1).flatMap((part, loadClass) => {
        return loadClass === last ? part : Array.from({ length: timeClassCount }, (...[, index]) => part[index] ?? 0);
    });
}

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

/** Returns the counts of a single time. */
export function countTimeClass(timeClass: number, loadClass: number): TimeCounts {
    return [...Array<number>(loadClass * timeClassCount + timeClass).fill(0), 1];
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
