/**
 * Measures a whole site from outside: real entries in front of stand-in servers. All figures come from the callers'
 * records.
 */
import { availableParallelism, loadavg } from "node:os";
import { type LoadResult, type LoadRunOptions, runLoad } from "../../load/index.js";
import { metroManila, ProcessGroup, Site } from "../../testbench/index.js";
import type { SeededRequest } from "../measurement.js";
import type { Report, ReportRow } from "../report.js";
import { createSiteProfile } from "./siteProfile.js";

const prefix = "127.64.200";
/** The runners are slow enough that they limit the site's throughput, not this machine's processors. */
const runnerSettings = { stepMilliseconds: 30, maximumRunning: 8, maximumWaiting: 32 } as const;
/** About three times the throughput of the runners. */
const capacityRequestsPerSecond = 150;
const runSeconds = 8;
/** Seconds at the start that are not counted, while connections are opened and the first estimates are made. */
const warmupSeconds = 2;
/**
 * Multiples of the capacity. A caller that retries after a refusal has already waited longer than the target for the
 * first token. The run without retries shows the latency of the requests that are admitted at the first attempt.
 */
const loads: readonly { readonly name: string; readonly multiple: number; readonly tries: number; }[] = [
    { name: "0.5 times capacity", multiple: 0.5, tries: 2 },
    { name: "0.9 times capacity", multiple: 0.9, tries: 2 },
    { name: "2 times capacity", multiple: 2, tries: 2 },
    { name: "2 times capacity, one try", multiple: 2, tries: 1 },
];
/** Longer than any answer takes, so that every complete answer counts. */
const unlimitedFirstTokenMilliseconds = 600_000;

/**
 * Starts the Metro Manila site, measures its capacity, and sends load at several multiples of it.
 * @param request - The seed and the progress log.
 */
export async function measureSite({ seed, log }: SeededRequest): Promise<Report> {
    const group = new ProcessGroup();
    try {
        const site = await Site.start(group, {
            ...metroManila,
            prefix,
            entryEnvironment: { DEBUG: "" },
            runners: { ...metroManila.runners, settings: runnerSettings },
        });
        const options = {
            title: "site",
            addresses: [site.getEntries()[0].callerAddress],
            profile: createSiteProfile(),
            seconds: runSeconds,
            seed,
        };
        log("capacity ...");
        const capacity = await findCapacity(options);
        log(`${capacity.toFixed(1)} answers a second`);
        const rows: ReportRow[] = [];
        const works: ReportRow[] = [];
        for (const { name, multiple, tries } of loads) {
            log(`${name} ...`);
            const { load, works: mix } = options.profile;
            const profile = { works: mix, load: { ...load, tries } };
            const result = await runLoad({ ...options, profile, ratePerSecond: multiple * capacity });
            rows.push(createRow(name, result, capacity));
            works.push(createWorkRow(name, result));
        }
        return {
            measurement: "site",
            seeds: [seed],
            tables: [
                { title: "What callers met, in milliseconds from the intended arrival", rows },
                {
                    title: "Time until callers could use something, by work: median and p95 in milliseconds",
                    rows: works,
                },
                { title: "Circumstances", rows: [createCircumstances(capacity)] },
            ],
        };
    }
    finally {
        await group.killAll();
    }
}

/**
 * Returns the complete answers per second from an overloaded site, however late they arrive.
 *
 * The load is open-loop. A closed loop, in which callers send the next request when the last one is done, would measure
 * the callers' backoff instead: each refusal keeps a caller away for a second or more while a slot is free.
 */
async function findCapacity(options: Omit<LoadRunOptions, "ratePerSecond">): Promise<number> {
    const { profile } = options;
    const result = await runLoad({
        ...options,
        profile: {
            ...profile,
            load: { ...profile.load, tries: 1, firstTokenMilliseconds: unlimitedFirstTokenMilliseconds },
        },
        ratePerSecond: capacityRequestsPerSecond,
    });
    let answers = 0;
    for (const { good } of result.timeLine.slice(warmupSeconds, runSeconds)) {
        answers += good;
    }
    return answers / (runSeconds - warmupSeconds);
}

function createRow(name: string, result: LoadResult, capacity: number): ReportRow {
    const { firstToken, gap, refusal, late } = result.distributions;
    return {
        name,
        figures: {
            "requests": result.requests,
            "first token median": firstToken.p50,
            "first token p95": firstToken.p95,
            "gap p95": gap.p95,
            "goodput, share of capacity": result.goodPerSecond / capacity,
            "refusals": refusal.count,
            "refusal p95": refusal.p95,
            "ends": Object.entries(result.ends).map(([end, count]) => `${end} ${count}`).join(", "),
            "sent late p95": late.p95,
        },
    };
}

function createWorkRow(name: string, { firstUse }: LoadResult): ReportRow {
    const figures: Record<string, string> = {};
    for (const [work, { p50, p95 }] of Object.entries(firstUse)) {
        figures[work] = `${p50.toFixed(0)}, ${p95.toFixed(0)}`;
    }
    return { name, figures };
}

/** Reports the load of the machine. Other programs on the machine raise the figures above the site's own. */
function createCircumstances(capacity: number): ReportRow {
    return {
        name: "this run",
        figures: {
            "capacity, answers/s": capacity,
            "processors": availableParallelism(),
            "machine's load over a minute": loadavg()[0],
        },
    };
}
