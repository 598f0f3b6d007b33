/**
 * Sends a schedule in an open loop: each request is sent at its time, whatever became of those before it.
 */
import { setTimeout as wait } from "node:timers/promises";
import type { Clock } from "../common/index.js";
import type { Arrival } from "./schedule.js";

/** What an open loop runs. */
export interface OpenLoopOptions {
    readonly schedule: readonly Arrival[];
    readonly clock: Clock;
    /**
     * Sends one request and resolves when its caller is done with it.
     * @param intendedAt - When it was to arrive, on the monotonic clock.
     */
    readonly send: (arrival: Arrival, intendedAt: number) => Promise<void>;
    readonly sleep?: (milliseconds: number) => Promise<void>;
}

/**
 * Sends all requests of a schedule and resolves when every caller is done.
 *
 * A closed loop would send fewer requests while the site is slow, and so leave out just the ones that would have waited
 * (coordinated omission): its percentiles look good while callers suffer. So nothing here waits for an answer before the
 * next arrival, and a request that is sent late still counts from its intended time.
 * @param options - The schedule and how to send.
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
