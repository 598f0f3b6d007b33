/**
 * Measures the cost of control for a running entry without callers: processor time by the number of upstreams that it
 * polls and by the number of entries that it exchanges data with.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { callJson, metroManila, ProcessGroup, Site } from "../../testbench/index.js";
import type { Report, ReportRow } from "../report.js";
import { fitSlope, type Point, type Slope } from "./slope.js";

/**
 * After this time the code is compiled, and an entry is no longer the collector of partitions that it took over while
 * it was the only one.
 */
const warmUpMilliseconds = 75_000;
const measuredMilliseconds = 60_000;
/** Number of sites that run concurrently. More would compete for processor time. */
const sitesAtATime = 2;
/** Gossip interval between 350 nodes, in milliseconds. */
const targetGossipIntervalMilliseconds = "2100";
/** Equals the defaults of the settings. */
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
const bytesInMegabyte = 1e6;
const firstBlock = 7;

interface ControlCase {
    readonly entries: number;
    readonly runners: number;
    readonly gossipIntervalMilliseconds: string;
}

const baseCase: ControlCase = { entries: 3, runners: 2, gossipIntervalMilliseconds: timing.gossip_interval_ms };
const byRunners: readonly ControlCase[] = [2, 8, 20].map(runners => ({ ...baseCase, runners }));
const byEntries: readonly ControlCase[] = [5, 8].map(entries => ({ ...baseCase, entries }));
const targetIntervalCase: ControlCase = {
    ...baseCase,
    runners: 20,
    gossipIntervalMilliseconds: targetGossipIntervalMilliseconds,
};
const cases: readonly ControlCase[] = [...byRunners, ...byEntries, targetIntervalCase];

interface ControlUsage {
    readonly processor: { readonly user: number; readonly system: number; };
    readonly memory: { readonly rss: number; readonly heapUsed: number; };
}

interface ControlCost {
    /** Mean over the site's entries, one of which holds the lease. */
    readonly processorPermille: number;
    readonly minPermille: number;
    readonly maxPermille: number;
    readonly heapMegabytes: number;
    readonly residentMegabytes: number;
}

/**
 * Measures the cost of control at rest.
 * @param log - Logs a line of progress.
 */
export async function measureControl(log: (line: string) => void): Promise<Report> {
    const costs = new Map<ControlCase, ControlCost>();
    for (let start = 0; start < cases.length; start += sitesAtATime) {
        await Promise.all(
            cases.slice(start, start + sitesAtATime).map(async (controlCase, index) => {
                log(`${describe(controlCase)} ...`);
                costs.set(controlCase, await measureCase(controlCase, `127.100.${firstBlock + index}`));
            }),
        );
    }
    const rows = cases.map(controlCase => createRow(describe(controlCase), costs.get(controlCase)!));
    const createPoint = (controlCase: ControlCase, size: number): Point => {
        return { size, value: costs.get(controlCase)!.processorPermille };
    };
    const runnerPoints = byRunners.map(controlCase => createPoint(controlCase, controlCase.runners));
    const entryPoints = [byRunners[0], ...byEntries].map(controlCase => createPoint(controlCase, controlCase.entries));
    rows.push(createSlopeRow("for each runner", fitSlope(runnerPoints)));
    rows.push(createSlopeRow("for each entry more", fitSlope(entryPoints)));
    return { measurement: "control", seeds: [], tables: [{ title: "Control at rest, one entry", rows }] };
}

function describe({ entries, runners, gossipIntervalMilliseconds }: ControlCase): string {
    const gossip = gossipIntervalMilliseconds === baseCase.gossipIntervalMilliseconds
        ? ""
        : `, gossip every ${gossipIntervalMilliseconds} ms`;
    return `${entries} entries, ${runners} runners${gossip}`;
}

async function measureCase(
    { entries, runners, gossipIntervalMilliseconds }: ControlCase,
    prefix: string,
): Promise<ControlCost> {
    const group = new ProcessGroup();
    try {
        const site = await Site.start(group, {
            ...metroManila,
            prefix,
            entryCount: entries,
            entryEnvironment: { DEBUG: "" },
            entrySettings: { timing: { ...timing, gossip_interval_ms: gossipIntervalMilliseconds } },
            runners: { name: "lm-pool", count: runners },
            services: { name: "label-app", count: 1 },
        });
        await sleep(warmUpMilliseconds);
        const before = await readUsages(site);
        const startedAt = performance.now();
        await sleep(measuredMilliseconds);
        const after = await readUsages(site);
        const elapsed = performance.now() - startedAt;
        const permilles = after.map((usage, index) => (getProcessor(usage) - getProcessor(before[index])) / elapsed);
        return {
            processorPermille: permilles.reduce((sum, value) => sum + value, 0) / permilles.length,
            minPermille: Math.min(...permilles),
            maxPermille: Math.max(...permilles),
            heapMegabytes: Math.max(...after.map(({ memory }) => memory.heapUsed)) / bytesInMegabyte,
            residentMegabytes: Math.max(...after.map(({ memory }) => memory.rss)) / bytesInMegabyte,
        };
    }
    finally {
        await group.killAll();
    }
}

function readUsages(site: Site): Promise<readonly ControlUsage[]> {
    return Promise.all(
        site.getEntries().map(entry => callJson<ControlUsage>({ address: entry.operatorAddress, path: "/status" })),
    );
}

function getProcessor({ processor }: ControlUsage): number {
    return processor.user + processor.system;
}

function createRow(name: string, cost: ControlCost): ReportRow {
    return {
        name,
        figures: {
            "processor, % of a core": formatPercent(cost.processorPermille),
            "least to greatest": `${formatPercent(cost.minPermille)} to ${formatPercent(cost.maxPermille)}`,
            "heap MB": cost.heapMegabytes.toFixed(0),
            "resident MB": cost.residentMegabytes.toFixed(0),
        },
    };
}

function formatPercent(value: number): string {
    return (value / permille * 100).toFixed(2);
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
