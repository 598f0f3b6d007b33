/** Measures the cost at the quality target and compares it with simple strategies and an oracle. */
import type { SeededRequest } from "../measurement.js";
import { formatSummary, type Report } from "../report.js";
import { costClasses } from "./costEnvironment.js";
import { type ExcessCause, excessCauses } from "./costExcess.js";
import { type ClassResult, CostRun, costStrategies, type CostStrategy, periodCount } from "./costRun.js";
import { measureDecision } from "./measureDecision.js";
import { measurePlanning } from "./measurePlanning.js";

const defaultSeedCount = 12;
/** The target counts as met if the mean true quality of a class is at most this many standard errors below it. */
const allowedStandardErrors = 2;

/** Runs the cost measurement over several seeds. */
export function measureCost(request: SeededRequest): Report {
    const seeds = Array.from({ length: request.seedCount ?? defaultSeedCount }, (...[, index]) => request.seed + index);
    const runs: CostRun[] = [];
    for (const seed of seeds) {
        const run = new CostRun(seed);
        run.run();
        runs.push(run);
        request.log(`seed ${seed}: cost / oracle ${(getCost(run, "rattanlock") / getCost(run, "oracle")).toFixed(3)}`);
    }
    return {
        measurement: "Cost at the quality target",
        seeds,
        tables: [
            {
                title: "Over all classes",
                rows: costStrategies.map(strategy => ({ name: strategy, figures: describeStrategy(runs, strategy) })),
            },
            {
                title: "By class, rattanlock",
                rows: costClasses.map(({ name }, index) => ({ name, figures: describeClass(runs, index) })),
            },
            {
                title: "By ten minutes, rattanlock",
                rows: Array.from({ length: periodCount }, (...[, period]) => describePeriod(runs, period)),
            },
            {
                title: "Cost beyond the oracle's, rattanlock, in percent of the oracle's cost",
                rows: excessCauses.map(cause => describeExcess(runs, cause)),
            },
            { title: "Cost of a decision", rows: [measureDecision(request.seed)] },
            { title: "Forming of plans", rows: measurePlanning(request.seed) },
        ],
    };
}

function describeStrategy(runs: readonly CostRun[], strategy: CostStrategy) {
    const met = runs.filter(run => run.results.get(strategy)!.every(isMet)).length;
    const shortfalls = runs.map(run => Math.max(...run.results.get(strategy)!.map(getShortfall)));
    const share = (count: number) => `${(100 * count).toFixed(1)} %`;
    const requests = runs.map(run => sum(run.results.get(strategy)!.map(result => result.requests)));
    return {
        "cost / oracle": formatSummary(runs.map(run => getCost(run, strategy) / getCost(run, "oracle"))),
        "cost / always-best": formatSummary(runs.map(run => getCost(run, strategy) / getCost(run, "always-best"))),
        "runs with the target met in every class": `${met} of ${runs.length}`,
        "greatest shortfall of a class": formatSummary(shortfalls, 4),
        "exploring": strategy === "rattanlock" ? share(sum(runs.map(run => run.exploringCount)) / sum(requests)) : "",
        "cascades": strategy === "rattanlock" ? share(sum(runs.map(run => run.cascadeCount)) / sum(requests)) : "",
    };
}

function describeClass(runs: readonly CostRun[], index: number) {
    const own = runs.map(run => run.results.get("rattanlock")![index]);
    const oracle = runs.map(run => run.results.get("oracle")![index]);
    const best = runs.map(run => run.results.get("always-best")![index]);
    return {
        "target": costClasses[index].targetQuality,
        "quality": formatSummary(own.map(result => result.qualitySum / result.requests), 3),
        "quality of the oracle": formatSummary(oracle.map(result => result.qualitySum / result.requests), 3),
        "cost / oracle": formatSummary(own.map((result, run) => result.cost / oracle[run].cost)),
        "cost / always-best": formatSummary(own.map((result, run) => result.cost / best[run].cost)),
        "met": `${own.filter(result => isMet(result, index)).length} of ${runs.length}`,
    };
}

function describePeriod(runs: readonly CostRun[], period: number) {
    const ratios = runs.map(run =>
        run.periods.get("rattanlock")![period].cost / run.periods.get("oracle")![period].cost
    );
    const classes = runs.map(run => run.periodClasses[period]);
    const observed = classes.flatMap(results => results.filter(({ requests }) => requests > 0));
    const met = classes.flatMap(results =>
        results.filter((result, index) => result.requests > 0 && isMet(result, index))
    );
    const shortfalls = classes.map(results =>
        Math.max(...results.map((result, index) => result.requests > 0 ? getShortfall(result, index) : 0))
    );
    return {
        name: `from minute ${10 * period}`,
        figures: {
            "cost / oracle": formatSummary(ratios),
            "classes with the target met": `${met.length} of ${observed.length}`,
            "greatest shortfall of a class": formatSummary(shortfalls, 4),
        },
    };
}

function describeExcess(runs: readonly CostRun[], cause: ExcessCause) {
    const shares = runs.map(run => 100 * run.excess.get(cause) / getCost(run, "oracle"));
    return { name: cause, figures: { "percent": formatSummary(shares, 1) } };
}

function getCost(run: CostRun, strategy: CostStrategy): number {
    return sum(run.results.get(strategy)!.map(result => result.cost));
}

function getShortfall(result: ClassResult, index: number): number {
    return Math.max(0, costClasses[index].targetQuality - result.qualitySum / result.requests);
}

function isMet(result: ClassResult, index: number): boolean {
    const mean = result.qualitySum / result.requests;
    const variance = result.squareSum / result.requests - mean ** 2;
    return getShortfall(result, index) <= allowedStandardErrors * Math.sqrt(variance / result.requests);
}

function sum(values: readonly number[]): number {
    let total = 0;
    for (const value of values) {
        total += value;
    }
    return total;
}
