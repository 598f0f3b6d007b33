/**
 * The measurement `limits`: compares the product's admission control with no limit and with a fixed limit and a queue.
 */
import { type AdmissionName, admissionNames } from "./admissionPolicies.js";
import type { LimitsRecord } from "./limitsRecord.js";
import { limitsTimes } from "./limitsTimes.js";
import { type LimitsScenario, LimitsTrial, type WorkspaceLoad } from "./limitsTrial.js";
import { formatSpread, formatTable, getRange, getSpread, type Spread } from "./statistics.js";

const seedsPerRun = 10;
const quietPrefix = "quiet-";

/** Creates two loud workspaces, the first with twice the share of the second, and eight quiet ones. */
function createWorkspaces(load: number): readonly WorkspaceLoad[] {
    const quietLoad = 0.02;
    const quietCount = 8;
    const loudLoad = (load - quietLoad * quietCount) / 2;
    const loudWorkspace = { load: loudLoad, lowPriorityShare: 0.2, earlyRetryShare: 0.4 };
    return [
        { ...loudWorkspace, name: "loud-0", share: 4 },
        { ...loudWorkspace, name: "loud-1", share: 2 },
        ...getRange(quietCount).map(index => ({
            name: `quiet-${index}`,
            share: 1,
            load: quietLoad,
            lowPriorityShare: 0,
            earlyRetryShare: 0,
        })),
    ];
}

/** The scenarios, in the order of the table. */
export const limitsScenarios: readonly LimitsScenario[] = [
    { name: "0.5 of capacity", workspaces: createWorkspaces(0.5), brownOut: 1 },
    { name: "0.9 of capacity", workspaces: createWorkspaces(0.9), brownOut: 1 },
    { name: "2 times capacity", workspaces: createWorkspaces(2), brownOut: 1 },
    { name: "0.8, thirty seconds 3 times slower", workspaces: createWorkspaces(0.8), brownOut: 3 },
];

/** Figures of one admission policy in one scenario. */
export interface LimitsResult {
    readonly scenario: string;
    readonly admission: AdmissionName;
    readonly figures: Readonly<Record<string, Spread>>;
}

const columns: readonly {
    readonly name: string;
    readonly digits: number;
    readonly get: (run: LimitsRecord) => number;
}[] = [
    { name: "goodput / capacity", digits: 2, get: run => run.getGoodput(limitsTimes.measureFrom, limitsTimes.end) },
    {
        name: "goodput in the brown-out's time",
        digits: 2,
        get: run => run.getGoodput(limitsTimes.brownOutFrom, limitsTimes.brownOutTo),
    },
    { name: "recovery s", digits: 0, get: run => run.getRecoverySeconds() },
    { name: "refusal 99% ms", digits: 0, get: run => run.getRefusalTime(0.99) },
    { name: "refusals over 50 ms", digits: 3, get: run => run.getLateRefusals() },
    { name: "quiet first token 95% ms", digits: 0, get: run => run.getFirstToken(quietPrefix, 0.95) },
    { name: "loud first token 95% ms", digits: 0, get: run => run.getFirstToken("loud-0", 0.95) },
    { name: "quiet served", digits: 2, get: run => run.getServedShare(quietPrefix) },
    { name: "loud-0 : loud-1", digits: 2, get: run => run.getRatio("loud-0", "loud-1") },
    { name: "refused, usual priority", digits: 2, get: run => run.getRefusedShare("loud-0", 1) },
    { name: "refused, lowest priority", digits: 2, get: run => run.getRefusedShare("loud-0", 3) },
    { name: "asks for each request", digits: 2, get: run => run.getAttemptsPerRequest() },
    { name: "peak asks / capacity", digits: 2, get: run => run.getPeakAttempts() },
];

/** Runs all scenarios with all admission policies. */
export function measureLimits(firstSeed: number, seeds = seedsPerRun): readonly LimitsResult[] {
    const results: LimitsResult[] = [];
    for (const scenario of limitsScenarios) {
        for (const admission of admissionNames) {
            const runs = getRange(seeds).map(index =>
                new LimitsTrial({ scenario, admission, seed: firstSeed + index }).run()
            );
            results.push({ scenario: scenario.name, admission, figures: summarize(runs) });
        }
    }
    return results;
}

/** Formats the results as a Markdown table. */
export function formatLimits(results: readonly LimitsResult[]): string {
    const rows = results.map(({ scenario, admission, figures }) => [
        scenario,
        admission,
        ...columns.map(column => formatSpread(figures[column.name], column.digits)),
    ]);
    return formatTable(["scenario", "way", ...columns.map(column => column.name)], rows);
}

function summarize(runs: readonly LimitsRecord[]): Readonly<Record<string, Spread>> {
    const figures: Record<string, Spread> = {};
    for (const column of columns) {
        figures[column.name] = getSpread(runs.map(column.get));
    }
    return figures;
}
