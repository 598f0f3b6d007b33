/**
 * A run of load against a site.
 */
import { randomUUID } from "node:crypto";
import { AddressResolver, Caller } from "../caller/index.js";
import { systemClock } from "../common/index.js";
import { LoadClient } from "./loadClient.js";
import type { LoadResult } from "./loadResult.js";
import { runOpenLoop } from "./openLoop.js";
import type { LoadProfile } from "./profile.js";
import { LoadRecorder } from "./recorder.js";
import { createSchedule } from "./schedule.js";

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

/**
 * Sends load in an open loop and returns what the callers met.
 * @param options - The run.
 */
export async function runLoad(options: LoadRunOptions): Promise<LoadResult> {
    const { profile, ratePerSecond, seconds, seed, title } = options;
    const caller = new Caller();
    const resolver = new AddressResolver(options.addresses);
    const client = new LoadClient({
        transport: {
            chat: ask => caller.chat(ask),
            callService: ask => caller.callService(ask),
            resume: (entry, key, broken) => caller.resume(entry, key, broken),
            getAddress: () => resolver.getAddress(),
        },
        clock: systemClock,
        settings: profile.load,
        runId: randomUUID(),
    });
    const recorder = new LoadRecorder({
        title,
        startedAt: new Date(),
        ratePerSecond,
        seconds,
        seed,
        goodFirstTokenMilliseconds: profile.load.firstTokenMilliseconds,
    });
    const schedule = createSchedule({ works: profile.works, ratePerSecond, seconds, seed });
    try {
        await runOpenLoop({
            schedule,
            clock: systemClock,
            send: async (arrival, intendedAt) => recorder.add(await client.send(arrival, intendedAt)),
        });
    }
    finally {
        await caller.close();
    }
    return recorder.getResult();
}
