/**
 * A run of load against a site.
 */
import { randomUUID } from "node:crypto";
import { AddressFollower, Caller } from "../caller/index.js";
import { systemClock } from "../common/index.js";
import { LoadClient } from "./loadClient.js";
import type { LoadResult } from "./loadResult.js";
import { runOpenLoop } from "./openLoop.js";
import type { LoadProfile } from "./profile.js";
import { Recorder } from "./recorder.js";
import { type Arrival, createSchedule } from "./schedule.js";

const millisecondsPerSecond = 1000;

/** What a run is made of. */
export interface LoadRunOptions {
    readonly title: string;
    /** `HOST:PORT` of some entries; callers learn the others from them. */
    readonly addresses: readonly string[];
    readonly profile: LoadProfile;
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly seed: number;
}

/** What a closed loop is made of, besides a run's own options. */
export interface ClosedLoopOptions extends LoadRunOptions {
    /** How many callers each send their next request when the last one is done. */
    readonly callers: number;
}

/**
 * Sends load in an open loop and returns what the callers met.
 * @param options - The run.
 */
export function runLoad(options: LoadRunOptions): Promise<LoadResult> {
    return runWithCallers(options, async (schedule, send) => {
        await runOpenLoop({ schedule, clock: systemClock, send });
    });
}

/**
 * Sends load in a closed loop, to find what a site can carry. Its latencies are no figure for callers, since it sends
 * less while the site is slow; the rate only limits how many requests there are.
 * @param options - The run.
 */
export function runClosedLoop(options: ClosedLoopOptions): Promise<LoadResult> {
    return runWithCallers(options, async (schedule, send) => {
        const start = systemClock.monotonic();
        const end = start + options.seconds * millisecondsPerSecond;
        let next = 0;
        const runCaller = async (): Promise<void> => {
            while (systemClock.monotonic() < end && next < schedule.length) {
                const arrival = schedule[next];
                next += 1;
                const now = systemClock.monotonic();
                await send({ ...arrival, at: now - start }, now);
            }
        };
        await Promise.all(Array.from({ length: options.callers }, runCaller));
    });
}

async function runWithCallers(
    options: LoadRunOptions,
    run: (
        schedule: readonly Arrival[],
        send: (arrival: Arrival, intendedAt: number) => Promise<void>,
    ) => Promise<void>,
): Promise<LoadResult> {
    const { profile, ratePerSecond, seconds, seed, title } = options;
    const caller = new Caller();
    const follower = new AddressFollower(options.addresses);
    const client = new LoadClient({
        channel: {
            chat: ask => caller.chat(ask),
            callService: ask => caller.callService(ask),
            resume: (entry, key, broken) => caller.resume(entry, key, broken),
            getAddress: () => follower.getAddress(),
        },
        clock: systemClock,
        settings: profile.load,
        run: randomUUID(),
    });
    const recorder = new Recorder({
        title,
        startedAt: new Date(),
        ratePerSecond,
        seconds,
        seed,
        goodFirstTokenMilliseconds: profile.load.firstTokenMilliseconds,
    });
    const schedule = createSchedule({ works: profile.works, ratePerSecond, seconds, seed });
    try {
        await run(schedule, async (arrival, intendedAt) => recorder.add(await client.send(arrival, intendedAt)));
    }
    finally {
        await caller.close();
    }
    return recorder.getResult();
}
