/**
 * Measures what control costs a running entry without any callers: processor time by the number of upstreams that it
 * polls and by the number of entries that it talks to.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { callJson, metroManila, ProcessGroup, Site } from "../../testbench/index.js";
import type { Report, ReportRow } from "../report.js";
import { fitSlope, type Point, type Slope } from "./slope.js";

const settleMilliseconds = 3000;
const watchMilliseconds = 8000;
/** As the settings' defaults have it. */
const timing = {
    gossip_interval_ms: "500",
    load_interval_ms: "500",
    log_wait_ms: "2000",
    lease_term_ms: "10000",
    lease_drift_ms: "1000",
    vm_list_interval_ms: "1000",
    bill_flush_ms: "1000",
};
const permille = 1000;

interface ControlUsage {
    readonly processor: { readonly user: number; readonly system: number; };
    readonly memory: { readonly rss: number; readonly heapUsed: number; };
}

interface ControlCost {
    readonly processorPermille: number;
    readonly heapMegabytes: number;
    readonly residentMegabytes: number;
}

/**
 * Measures control at rest.
 * @param log - Writes progress.
 */
export async function measureControl(log: (line: string) => void): Promise<Report> {
    const rows: ReportRow[] = [];
    const byUpstreams: Point[] = [];
    for (const runners of [2, 8, 14, 20]) {
        const cost = await watch(3, runners, log);
        byUpstreams.push({ size: runners, value: cost.processorPermille });
        rows.push(createRow(`3 entries, ${runners} runners`, cost));
    }
    const byEntries: Point[] = [];
    for (const entries of [2, 5, 8, 11]) {
        const cost = await watch(entries, 2, log);
        byEntries.push({ size: entries, value: cost.processorPermille });
        rows.push(createRow(`${entries} entries, 2 runners`, cost));
    }
    rows.push(createSlopeRow("for each runner polled twice a second", fitSlope(byUpstreams)));
    rows.push(createSlopeRow("for each entry more", fitSlope(byEntries)));
    return { measurement: "control", seeds: [], tables: [{ title: "Control at rest, one entry", rows }] };
}

async function watch(entryCount: number, runners: number, log: (line: string) => void): Promise<ControlCost> {
    log(`${entryCount} entries, ${runners} runners ...`);
    const group = new ProcessGroup();
    try {
        const site = await Site.start(group, {
            ...metroManila,
            prefix: "127.100.7",
            entryCount,
            entryEnvironment: { DEBUG: "" },
            entrySettings: { timing },
            runners: { name: "lm-pool", count: runners },
            services: { name: "label-app", count: 1 },
        });
        await sleep(settleMilliseconds);
        const before = await readUsage(site);
        const startedAt = performance.now();
        await sleep(watchMilliseconds);
        const after = await readUsage(site);
        const microseconds = getProcessor(after) - getProcessor(before);
        return {
            processorPermille: microseconds / (performance.now() - startedAt),
            heapMegabytes: after.memory.heapUsed / 1e6,
            residentMegabytes: after.memory.rss / 1e6,
        };
    }
    finally {
        await group.killAll();
    }
}

/** The last entry: the first one holds the lease more often than not. */
function readUsage(site: Site): Promise<ControlUsage> {
    const entries = site.getEntries();
    return callJson<ControlUsage>({ address: entries[entries.length - 1].operators, path: "/status" });
}

function getProcessor({ processor }: ControlUsage): number {
    return processor.user + processor.system;
}

function createRow(name: string, cost: ControlCost): ReportRow {
    return {
        name,
        figures: {
            "processor, % of a core": (cost.processorPermille / permille * 100).toFixed(2),
            "heap MB": cost.heapMegabytes.toFixed(0),
            "resident MB": cost.residentMegabytes.toFixed(0),
        },
    };
}

function createSlopeRow(name: string, { slope, standardError }: Slope): ReportRow {
    return {
        name,
        figures: {
            "processor, % of a core": `${(slope / permille * 100).toFixed(3)} ± ${
                (standardError / permille * 100).toFixed(3)
            }`,
        },
    };
}
