/**
 * The measurement `orders`: the cost of orders to engines. It counts the loads and the time until a new version is on
 * its runners, the loads after the loss of a failure domain, and the processor time of one decision.
 *
 * Load times are drawn at random, and rounds have the same interval as those of the order driver. No processes run.
 */
import { RandomSource } from "../common/index.js";
import { decideLoading, type LoadingRequest, type LoadingRunner } from "../decisions/index.js";
import type { SeededRequest } from "./measurement.js";
import type { Report, ReportRow } from "./report.js";
import { getQuantile } from "./statistics.js";

const shapes = [
    { runners: 6, domains: 4, versions: 4, loadsAtATime: 2 },
    { runners: 13, domains: 4, versions: 4, loadsAtATime: 2 },
    { runners: 210, domains: 17, versions: 11, loadsAtATime: 20 },
    { runners: 2_100, domains: 17, versions: 11, loadsAtATime: 50 },
] as const;
const versionsPerRunner = 4;
const subsetSize = 32;
const copiesInSubset = 8;
const minLoadSeconds = 20;
const loadSpreadSeconds = 20;
const minRoundSeconds = 2;
const roundSecondsByRunner = 0.015;
const maxRounds = 5_000;
const decisions = 30;
const newVersion = "new@1";

interface Shape {
    readonly runners: number;
    readonly domains: number;
    readonly versions: number;
    readonly loadsAtATime: number;
}

interface ConvergenceTotals {
    readonly loads: number;
    readonly unloads: number;
    readonly seconds: number;
}

/** A simulated pool whose engines follow all orders. Each load takes a random time. */
class SimulatedPool {
    readonly #random: RandomSource;
    readonly #shape: Shape;
    readonly #dueAt = new Map<string, number>();
    #now = 0;
    request: LoadingRequest;

    constructor(shape: Shape, random: RandomSource) {
        this.#random = random;
        this.#shape = shape;
        const minCopies = Math.ceil(shape.runners * copiesInSubset / subsetSize);
        this.request = {
            runners: createRunners(shape),
            placed: Array.from({ length: shape.versions - 1 }, (...[, index]) => ({
                id: `version-${index}@1`,
                demand: Math.round(1_000 / (index + 1)),
            })),
            evictable: new Set(),
            retiring: new Set(),
            versionsPerRunner,
            loadsAtATime: shape.loadsAtATime,
            minCopies: shape.runners <= subsetSize ? 2 : minCopies,
        };
    }

    /** Runs rounds until no orders remain. */
    runUntilStable(): ConvergenceTotals {
        const start = this.#now;
        let loads = 0;
        let unloads = 0;
        for (let round = 0; round < maxRounds; round += 1) {
            const { orders } = decideLoading(this.request);
            if (orders.length === 0) {
                return { loads, unloads, seconds: this.#now - start };
            }
            const byRunner = new Map(orders.map(order => [order.runner, order]));
            const runners = this.request.runners.map(runner => {
                const order = byRunner.get(runner.id);
                return order === undefined ? runner : this.#applyOrder(runner, order.versions, order.loadingVersion);
            });
            for (const [index, { versions }] of runners.entries()) {
                const before = this.request.runners[index].versions;
                loads += versions.filter(version => !before.includes(version)).length;
                unloads += before.filter(version => !versions.includes(version)).length;
            }
            this.request = { ...this.request, runners };
            this.#now += Math.max(minRoundSeconds, this.#shape.runners * roundSecondsByRunner);
        }
        throw new Error(`${this.#shape.runners} runners did not reach a stable placement within ${maxRounds} rounds.`);
    }

    #applyOrder(runner: LoadingRunner, versions: readonly string[], loads: string | undefined): LoadingRunner {
        const remainingVersions = runner.versions.filter(version => versions.includes(version));
        if (loads === undefined) {
            return { ...runner, versions: remainingVersions, loading: [] };
        }
        const dueAt = this.#dueAt.get(runner.id)
            ?? this.#now + minLoadSeconds + this.#random.nextInteger(loadSpreadSeconds);
        this.#dueAt.set(runner.id, dueAt);
        if (this.#now < dueAt) {
            return { ...runner, versions: remainingVersions, loading: [loads] };
        }
        this.#dueAt.delete(runner.id);
        return { ...runner, versions: [...remainingVersions, loads], loading: [] };
    }
}

/**
 * Measures orders at several sizes of pool.
 * @param request - The seed and the progress log.
 */
export function measureOrders({ seed, log }: SeededRequest): Report {
    const rows: ReportRow[] = [];
    for (const shape of shapes) {
        log(`${shape.runners} runners`);
        rows.push(measureShape(shape, seed));
    }
    return { measurement: "orders", seeds: [seed], tables: [{ title: "Orders to engines", rows }] };
}

function measureShape(shape: Shape, seed: number): ReportRow {
    const pool = new SimulatedPool(shape, new RandomSource(seed));
    const first = pool.runUntilStable();
    pool.request = { ...pool.request, placed: [...pool.request.placed, { id: newVersion, demand: 50 }] };
    const cost = measureDecisions(pool.request);
    const afterAddition = pool.runUntilStable();
    const runnersWithVersion = pool.request.runners.filter(runner => runner.versions.includes(newVersion)).length;
    const stableCost = measureDecisions(pool.request);
    const remainingRunners = pool.request.runners.filter(runner => runner.failureDomain !== "domain-0");
    const lostRunners = pool.request.runners.length - remainingRunners.length;
    pool.request = { ...pool.request, runners: remainingRunners };
    const afterLoss = pool.runUntilStable();
    return {
        name: `${shape.runners} runners, ${shape.versions} versions, ${shape.loadsAtATime} loads at a time`,
        figures: {
            "loads from empty": first.loads,
            "s": Math.round(first.seconds),
            "loads for a new version": afterAddition.loads,
            "its runners": runnersWithVersion,
            "s ": Math.round(afterAddition.seconds),
            "unloads": afterAddition.unloads,
            "runners lost with a domain": lostRunners,
            "loads after": afterLoss.loads,
            "s  ": Math.round(afterLoss.seconds),
            "decision ms median": cost.median,
            "greatest": cost.max,
            "decision at rest ms median": stableCost.median,
        },
    };
}

function measureDecisions(request: LoadingRequest): { readonly median: number; readonly max: number; } {
    const times: number[] = [];
    for (let index = 0; index < decisions; index += 1) {
        const start = performance.now();
        decideLoading(request);
        times.push(performance.now() - start);
    }
    return { median: getQuantile(times, 0.5), max: Math.max(...times) };
}

function createRunners({ runners, domains }: Shape): readonly LoadingRunner[] {
    return Array.from({ length: runners }, (...[, index]) => ({
        id: `runner-${index}`,
        failureDomain: `domain-${index % domains}`,
        versions: [],
        loading: [],
        isIdle: true,
        isStalled: false,
    }));
}
