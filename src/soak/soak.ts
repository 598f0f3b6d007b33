/**
 * A soak: a site under load, faults drawn from a seed, and every promise checked at the end.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../common/index.js";
import { Caller, getApiKey, metroManila, ProcessGroup, Site, Traffic } from "../testbench/index.js";
import { ConfigurationWatch } from "./configurationWatch.js";
import { FaultInjector } from "./faultInjector.js";
import { pick } from "./soakFault.js";
import { judgeSoak } from "./soakJudge.js";
import { formatTimeLine } from "./timeLine.js";

const plannedStopFault = "FAULT ";

/** What a soak is made from. */
export interface SoakOptions {
    readonly seed: number;
    readonly milliseconds: number;
    /** First three bytes of a loopback block. */
    readonly prefix: string;
}

/** What came of a soak. */
export interface SoakResult {
    /** What broke a promise; empty when all held. */
    readonly faults: readonly string[];
    readonly timeLine: readonly string[];
    /** How many faults were injected. */
    readonly injected: number;
    readonly chats: number;
    readonly wholeAnswers: number;
    readonly prints: number;
}

/**
 * Runs a soak. The seed fixes the faults, their targets, order and length; the processes' own timing stays free.
 * @param options - What to run.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const group = new ProcessGroup();
    const caller = new Caller();
    try {
        const site = await Site.start(group, {
            ...metroManila,
            prefix: options.prefix,
            entryCount: 4,
            runners: { name: "lm-pool", count: 4, settings: { stepMilliseconds: 5 } },
            services: { name: "label-app", count: 2, settings: { workMilliseconds: 5 } },
            hasLinks: true,
        });
        return await soak(site, group, caller, options);
    }
    finally {
        await caller.close();
        await group.killAll();
    }
}

async function soak(site: Site, group: ProcessGroup, caller: Caller, options: SoakOptions): Promise<SoakResult> {
    const random = new RandomSource(options.seed + 7);
    const entries = site.getEntries().map(entry => entry.callers);
    const traffic = new Traffic({
        caller,
        key: getApiKey("commissary"),
        pool: "label-app",
        chatters: 8,
        printers: 3,
        getEntry: async () => pick(random, entries),
        resumes: true,
    });
    const injector = new FaultInjector(site, options.seed);
    const watch = new ConfigurationWatch(site);
    traffic.start();
    watch.start();
    injector.start();
    await sleep(options.milliseconds);
    await injector.stop();
    await site.waitUntilReady();
    await traffic.stop();
    await watch.stop();
    const notes = injector.getNotes();
    const records = {
        chats: traffic.getChats(),
        prints: traffic.getPrints(),
        withdrawn: injector.getWithdrawn(),
    };
    const faults = [
        ...notes.filter(({ text }) => text.startsWith(plannedStopFault)).map(({ text }) => text),
        ...watch.getFaults(),
        ...await judgeSoak(site, records),
    ];
    const events = group.getAll().flatMap(member => member.getEvents());
    return {
        faults,
        timeLine: formatTimeLine(notes, events, faults),
        injected: notes.filter(({ text }) => / for \d+ ms$/.test(text)).length,
        chats: records.chats.length,
        wholeAnswers: records.chats.filter(({ record }) => record.isWhole).length,
        prints: records.prints.length,
    };
}
