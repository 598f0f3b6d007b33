/**
 * Sends a schedule in an open loop: each request is sent at its scheduled time, independently of earlier answers.
 */
import { setTimeout as wait } from "node:timers/promises";
import type { Clock } from "../common/index.js";
import type { Arrival } from "./schedule.js";

/** Options of an open loop. */
export interface OpenLoopOptions {
    readonly schedule: readonly Arrival[];
    readonly clock: Clock;
    /**
     * Sends one request and resolves when it has ended.
     * @param intendedAt - The intended arrival time on the monotonic clock.
     */
    readonly send: (arrival: Arrival, intendedAt: number) => Promise<void>;
    readonly sleep?: (milliseconds: number) => Promise<void>;
}

/**
 * Sends all requests of a schedule and resolves when every request has ended.
 *
 * A closed loop would send fewer requests while the site is slow, and so omit exactly the requests that would have had
 * to wait (coordinated omission): its percentiles look good although callers wait long. The loop therefore never waits
 * for an answer before the next arrival, and the latency of a request that is sent late counts from its intended time.
 * @param options - The schedule and the function that sends a request.
 */
export async function runOpenLoop({ schedule, clock, send, sleep = wait }: OpenLoopOptions): Promise<void> {
    const start = clock.monotonic();
    const running: Promise<void>[] = [];
    for (const arrival of schedule) {
        const intendedAt = start + arrival.at;
        const remaining = intendedAt - clock.monotonic();
        if (remaining > 0) {
            await sleep(remaining);
        }
        running.push(send(arrival, intendedAt));
    }
    await Promise.all(running);
}
