/**
 * The measurement `load`: compares the product's choice of a runner with random, round robin and least in-flight.
 */
import { type DecisionCost, measureDecisionCost } from "./decisionCost.js";
import { type LoadFigures, type LoadScenario, LoadTrial } from "./loadTrial.js";
import { type PolicyName, policyNames } from "./placementPolicies.js";
import { formatSpread, formatTable, getSpread, type Spread } from "./statistics.js";

const seedsPerRun = 10;

/** The default first seed of a reported measurement. Seeds below it are for tuning. */
export const firstReportingSeed = 1_000;

/** More polls per second than any subset needs, so that each runner is polled in each round. */
const unlimitedPollsPerSecond = 1_000;
const unequalShapes = [
    { capacity: 4, slowness: 1.5 },
    { capacity: 8, slowness: 1 },
    { capacity: 16, slowness: 0.7 },
];

/** The scenarios, in the order of the table. */
export const loadScenarios: readonly LoadScenario[] = [
    { name: "0.5 of capacity", load: 0.5 },
    { name: "0.9 of capacity", load: 0.9 },
    { name: "2 times capacity", load: 2 },
    { name: "unequal runners, 0.9", load: 0.9, getRunnerShape: index => unequalShapes[index % unequalShapes.length] },
    { name: "0.9, asked without a bound", load: 0.9, pollsPerSecond: unlimitedPollsPerSecond },
    { name: "0.9, 4 questions a second", load: 0.9, pollsPerSecond: 4 },
    { name: "52 runners, 0.9", load: 0.9, runners: 52, sessions: 240 },
    {
        name: "52 runners, 0.9, asked without a bound",
        load: 0.9,
        runners: 52,
        sessions: 240,
        pollsPerSecond: unlimitedPollsPerSecond,
    },
    { name: "small prefix caches, 0.9", load: 0.9, cacheBlocks: 250 },
    {
        name: "slow runner that reports no load, 0.8",
        load: 0.8,
        misreportingRunner: 3,
        getRunnerShape: index => ({ capacity: 8, slowness: index === 3 ? 4 : 1 }),
    },
    { name: "half a failure domain crashes, 0.7", load: 0.7, runnerFailure: { runners: [0, 4], fault: "crashed" } },
    { name: "half a failure domain falls silent, 0.7", load: 0.7, runnerFailure: { runners: [0, 4], fault: "silent" } },
];

/** Figures of one policy in one scenario. */
export interface LoadResult {
    readonly scenario: string;
    readonly policy: PolicyName;
    readonly figures: Readonly<Record<keyof LoadFigures, Spread>>;
}

/** Runs all scenarios with all placement policies. */
export function measureLoad(firstSeed: number, seeds = seedsPerRun): readonly LoadResult[] {
    const results: LoadResult[] = [];
    for (const scenario of loadScenarios) {
        for (const policy of policyNames) {
            const runs: LoadFigures[] = [];
            for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
                runs.push(new LoadTrial({ scenario, policy, seed }).run());
            }
            results.push({ scenario: scenario.name, policy, figures: summarize(runs) });
        }
    }
    return results;
}

/** Measures the cost of a choice at the current size, at the target size, and in between. */
export function measureCosts(seed: number): readonly DecisionCost[] {
    return [13, 210, 2_100].map(runners => measureDecisionCost(runners, seed));
}

/** Formats the costs of a choice as a Markdown table. */
export function formatCosts(costs: readonly DecisionCost[]): string {
    const header = ["runners", "median microseconds", "99% microseconds", "bytes a choice", "kept KiB"];
    const rows = costs.map(cost => [
        `${cost.runners}`,
        cost.medianMicroseconds.toFixed(1),
        cost.microseconds99.toFixed(1),
        cost.bytes.toFixed(0),
        (cost.keptBytes / 1_024).toFixed(0),
    ]);
    return formatTable(header, rows);
}

/** Formats the results as a Markdown table. */
export function formatLoad(results: readonly LoadResult[]): string {
    const header = ["scenario", "way", "first token median ms", "95% ms", "99% ms", "between tokens 95% ms"];
    const rows = results.map(({ scenario, policy, figures }) => [
        scenario,
        policy,
        formatSpread(figures.firstTokenMedian, 0),
        formatSpread(figures.firstToken95, 0),
        formatSpread(figures.firstToken99, 0),
        formatSpread(figures.betweenTokens95, 1),
        formatSpread(figures.goodput, 2),
        formatSpread(figures.lost, 3),
        formatSpread(figures.cachedShare, 2),
    ]);
    return formatTable([...header, "goodput / capacity", "lost", "cached"], rows);
}

function summarize(runs: readonly LoadFigures[]): Readonly<Record<keyof LoadFigures, Spread>> {
    const get = (key: keyof LoadFigures): Spread => getSpread(runs.map(run => run[key]));
    return {
        firstTokenMedian: get("firstTokenMedian"),
        firstToken95: get("firstToken95"),
        firstToken99: get("firstToken99"),
        betweenTokens95: get("betweenTokens95"),
        goodput: get("goodput"),
        lost: get("lost"),
        cachedShare: get("cachedShare"),
    };
}
