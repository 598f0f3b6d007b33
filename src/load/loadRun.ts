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

/** Options of a run. */
export interface LoadRunOptions {
    readonly title: string;
    /** `HOST:PORT` of some entries; the client fetches the other addresses from them. */
    readonly addresses: readonly string[];
    readonly profile: LoadProfile;
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly seed: number;
}

/**
 * Sends load in an open loop and returns the recorded result.
 * @param options - The options of the run.
 */
export async function runLoad(options: LoadRunOptions): Promise<LoadResult> {
    const { profile, ratePerSecond, seconds, seed, title } = options;
    const caller = new Caller();
    const resolver = new AddressResolver(options.addresses);
    const client = new LoadClient({
        transport: {
            chat: chatRequest => caller.chat(chatRequest),
            callService: serviceRequest => caller.callService(serviceRequest),
            resume: (entry, key, partial) => caller.resume(entry, key, partial),
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
