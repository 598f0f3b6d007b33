/**
 * Measures a whole site from outside: real entries before stand-ins, judged by the callers' own records alone.
 */
import { availableParallelism, loadavg } from "node:os";
import { type LoadResult, type LoadRunOptions, runLoad } from "../../load/index.js";
import { metroManila, ProcessGroup, Site } from "../../testbench/index.js";
import type { SeededRequest } from "../measurement.js";
import type { Report, ReportRow } from "../report.js";
import { createSiteProfile } from "./siteProfile.js";

const prefix = "127.64.200";
/** Runners slow enough that they, and not this machine's processors, bound what the site can carry. */
const runnerSettings = { stepMilliseconds: 30, maximumRunning: 8, maximumWaiting: 32 } as const;
/** About three times what the runners can answer. */
const capacityRequestsPerSecond = 150;
const runSeconds = 8;
/** Seconds at the start that are left out, while connections open and estimates form. */
const warmupSeconds = 2;
/**
 * Multiples of the capacity. Callers that come back after a refusal have waited longer than the target by then; the run
 * in which they do not come back shows how soon those are answered that are let in.
 */
const loads: readonly { readonly name: string; readonly multiple: number; readonly tries: number; }[] = [
    { name: "0.5 times capacity", multiple: 0.5, tries: 2 },
    { name: "0.9 times capacity", multiple: 0.9, tries: 2 },
    { name: "2 times capacity", multiple: 2, tries: 2 },
    { name: "2 times capacity, one try", multiple: 2, tries: 1 },
];
/** Longer than any answer takes, so that every whole answer counts. */
const unlimitedFirstTokenMilliseconds = 600_000;

/**
 * Starts the Metro Manila site, finds its capacity, and sends shares and multiples of it.
 * @param request - The seed, and where to write progress.
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
 * Returns the whole answers a second that callers get, whenever they come, from a site that has more to do than it can.
 * Callers that send their next request when the last one is done would measure their own patience: each refusal keeps
 * one of them away for a second and more, while a place is free.
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

/** Says how busy the machine was: figures from a machine that others use are higher than the site's own. */
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
