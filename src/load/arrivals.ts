/**
 * Arrival times of requests.
 */
import type { RandomSource } from "../common/index.js";

const millisecondsPerSecond = 1000;

/** How many requests arrive for how long. */
export interface ArrivalOptions {
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly random: RandomSource;
}

/**
 * Draws the arrival times of a Poisson process, in milliseconds from the start and in order.
 * @param options - The rate, the time and the random numbers.
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
