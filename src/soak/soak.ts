/**
 * A soak test: a site under load with faults drawn from a seed, whose invariants are checked at the end.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../common/index.js";
import { Caller, getApiKey, metroManila, ProcessGroup, Site, Traffic } from "../testbench/index.js";
import { ConfigurationWatch } from "./configurationWatch.js";
import { FaultInjector } from "./faultInjector.js";
import { checkSoak } from "./soakChecks.js";
import { pick } from "./soakFault.js";
import { formatTimeLine } from "./timeLine.js";

const stopViolationPrefix = "FAULT ";

/** Options of a soak. */
export interface SoakOptions {
    readonly seed: number;
    readonly milliseconds: number;
    /** First three bytes of the loopback address block that the site uses. */
    readonly prefix: string;
}

/** The result of a soak. */
export interface SoakResult {
    /** Violated invariants; empty when all held. */
    readonly violations: readonly string[];
    readonly timeLine: readonly string[];
    /** Number of injected faults. */
    readonly injectedFaults: number;
    readonly chats: number;
    readonly completeAnswers: number;
    readonly prints: number;
}

/**
 * Runs a soak. The seed determines the faults with their targets, order and durations, but not the timing of the
 * processes.
 * @param options - The options of the soak.
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
            hasProxiedLinks: true,
        });
        return await soakSite(site, group, caller, options);
    }
    finally {
        await caller.close();
        await group.killAll();
    }
}

async function soakSite(site: Site, group: ProcessGroup, caller: Caller, options: SoakOptions): Promise<SoakResult> {
    const random = new RandomSource(options.seed + 7);
    const entries = site.getEntries().map(entry => entry.callerAddress);
    const traffic = new Traffic({
        caller,
        key: getApiKey("commissary"),
        pool: "label-app",
        chatCallers: 8,
        printCallers: 3,
        getEntry: async () => pick(random, entries),
        resumesBrokenAnswers: true,
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
    const soakEvents = injector.getEvents();
    const records = {
        chats: traffic.getChats(),
        prints: traffic.getPrints(),
        withdrawals: injector.getWithdrawals(),
    };
    const violations = [
        ...soakEvents.filter(({ text }) => text.startsWith(stopViolationPrefix)).map(({ text }) => text),
        ...watch.getViolations(),
        ...await checkSoak(site, records),
    ];
    const events = group.getProcesses().flatMap(member => member.getEvents());
    return {
        violations,
        timeLine: formatTimeLine(soakEvents, events, violations),
        injectedFaults: soakEvents.filter(({ text }) => / for \d+ ms$/.test(text)).length,
        chats: records.chats.length,
        completeAnswers: records.chats.filter(({ record }) => record.isComplete).length,
        prints: records.prints.length,
    };
}
