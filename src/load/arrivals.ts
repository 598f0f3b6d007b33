/**
 * Arrival times of requests.
 */
import type { RandomSource } from "../common/index.js";

const millisecondsPerSecond = 1000;

/** Arrival rate and duration. */
export interface ArrivalOptions {
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly random: RandomSource;
}

/**
 * Draws the arrival times of a Poisson process, in milliseconds from the start, in ascending order.
 * @param options - The rate, the duration and the random source.
 */
export function createArrivalTimes({ ratePerSecond, seconds, random }: ArrivalOptions): readonly number[] {
    const end = seconds * millisecondsPerSecond;
    const times: number[] = [];
    let time = 0;
    while (true) {
        time += -Math.log(1 - random.next()) / ratePerSecond * millisecondsPerSecond;
        if (time >= end) {
            return times;
        }
        times.push(time);
    }
}
