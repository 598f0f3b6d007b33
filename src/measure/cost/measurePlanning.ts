/** Measures how long the event loop is blocked while the plans of a class are recomputed. */
import { performance } from "node:perf_hooks";
import { RandomSource, systemClock } from "../../common/index.js";
import { Evidence, ModelChooser } from "../../decisions/model/index.js";
import type { ReportRow } from "../report.js";
import { CostEnvironment } from "./costEnvironment.js";

const classCount = 20;
const entryCount = 8;
const ratingsPerClass = 400;
const roundCount = 40;
/** The first rounds run while the code is still being compiled. */
const warmUpRounds = 5;
/** Long enough for plans to be recomputed in each round. */
const roundMilliseconds = 10_000;
/** Some of the decisions also plan an exploration. */
const decisionsPerRound = 30;

/**
 * Times the slowest step or decision of each class and round. Before each round, the counts of all versions and entries
 * change.
 */
export function measurePlanning(seed: number): readonly ReportRow[] {
    const random = new RandomSource(seed);
    const versions = new CostEnvironment(seed).getVersions(0);
    let time = 0;
    const clock = { wall: () => systemClock.wall(), monotonic: () => time };
    const evidence = new Evidence({ clock });
    const others = Array.from({ length: entryCount - 1 }, () => new Evidence({ clock }));
    const addRatings = (requestClass: string, age: number) => {
        for (const target of [evidence, ...others]) {
            for (const { id } of versions) {
                const answeredAt = systemClock.wall() - age * random.nextExponential(1);
                target.addRating({ version: id, requestClass, score: random.next(), answeredAt });
            }
        }
    };
    const mergeEvidence = () => {
        for (const [index, other] of others.entries()) {
            evidence.merge(`entry-${index}`, other.exportOwn());
        }
    };
    const classes = Array.from({ length: classCount }, (...[, index]) => `class-${index}`);
    for (const requestClass of classes) {
        for (let rating = 0; rating < ratingsPerClass / versions.length; rating += 1) {
            addRatings(requestClass, 600_000);
        }
    }
    mergeEvidence();
    const steps: (() => void)[] = [];
    const schedule = (step: () => void) => steps.push(step);
    let chooser = new ModelChooser({ evidence, random, clock, schedule });
    const decide = (requestClass: string) => {
        const request = { requestClass, candidates: versions, inputTokens: 1000, outputTokens: 200 };
        return measure(() => chooser.choose({ ...request, targetQuality: 0.8, confidence: 0.95 }));
    };
    const replanned: number[] = [];
    const initial: number[] = [];
    for (let round = 0; round < roundCount; round += 1) {
        time += roundMilliseconds;
        for (const requestClass of classes) {
            addRatings(requestClass, 1000);
        }
        mergeEvidence();
        for (const requestClass of classes) {
            let slowest = decide(requestClass);
            for (let step = steps.shift(); step !== undefined; step = steps.shift()) {
                slowest = Math.max(slowest, measure(step));
            }
            for (let decision = 0; decision < decisionsPerRound; decision += 1) {
                slowest = Math.max(slowest, decide(requestClass));
            }
            if (round >= warmUpRounds) {
                replanned.push(slowest);
            }
        }
    }
    for (let round = 0; round < roundCount; round += 1) {
        chooser = new ModelChooser({ evidence, random, clock, schedule });
        initial.push(...classes.map(decide));
    }
    return [
        describe("plans formed anew, slowest step or decision", replanned),
        describe("first plans of a class", initial),
    ];
}

function measure(run: () => void): number {
    const startedAt = performance.now();
    run();
    return performance.now() - startedAt;
}

function describe(name: string, milliseconds: readonly number[]): ReportRow {
    const sorted = [...milliseconds].sort((left, right) => left - right);
    const quantile = (share: number) => Math.round(1000 * sorted[Math.floor(share * (sorted.length - 1))]);
    return { name, figures: { "median in µs": quantile(0.5), "95% in µs": quantile(0.95), "count": sorted.length } };
}
