/** Measures how long one decision is held up while the plans of its class are formed anew. */
import { performance } from "node:perf_hooks";
import { RandomSource, systemClock } from "../../common/index.js";
import { Evidence, ModelChooser } from "../../decisions/model/index.js";
import type { ReportRow } from "../report.js";
import { CostWorld } from "./costWorld.js";

const classCount = 20;
const entryCount = 8;
const ratingsOfEach = 400;
const roundCount = 40;
/** The first rounds run while the code is still being compiled. */
const warmUpRounds = 5;
/** Long enough for plans to be formed anew. */
const roundMilliseconds = 10_000;
/** More than the steps in which counts are read. */
const decisionsOfRound = 12;

/** Times the slowest decision of each class in rounds before which the counts of all versions and entries changed. */
export function measureForming(seed: number): readonly ReportRow[] {
    const random = new RandomSource(seed);
    const versions = new CostWorld(seed).getVersions(0);
    let time = 0;
    const clock = { wall: () => systemClock.wall(), monotonic: () => time };
    const evidence = new Evidence({ clock });
    const others = Array.from({ length: entryCount - 1 }, () => new Evidence({ clock }));
    const rate = (requestClass: string, age: number) => {
        for (const target of [evidence, ...others]) {
            for (const { id } of versions) {
                const answeredAt = systemClock.wall() - age * random.nextExponential(1);
                target.addRating({ version: id, requestClass, score: random.next(), answeredAt });
            }
        }
    };
    const share = () => {
        for (const [index, other] of others.entries()) {
            evidence.merge(`entry-${index}`, other.exportOwn());
        }
    };
    const classes = Array.from({ length: classCount }, (...[, index]) => `class-${index}`);
    for (const requestClass of classes) {
        for (let rating = 0; rating < ratingsOfEach / versions.length; rating += 1) {
            rate(requestClass, 600_000);
        }
    }
    share();
    let chooser = new ModelChooser({ evidence, random, clock });
    const decide = (requestClass: string) => {
        const begin = performance.now();
        chooser.choose({
            requestClass,
            candidates: versions,
            targetQuality: 0.8,
            confidence: 0.95,
            inputTokens: 1000,
            outputTokens: 200,
        });
        return performance.now() - begin;
    };
    const again: number[] = [];
    const first: number[] = [];
    for (let round = 0; round < roundCount; round += 1) {
        time += roundMilliseconds;
        for (const requestClass of classes) {
            rate(requestClass, 1000);
        }
        share();
        for (const requestClass of classes) {
            const slowest = Math.max(...Array.from({ length: decisionsOfRound }, () => decide(requestClass)));
            if (round >= warmUpRounds) {
                again.push(slowest);
            }
        }
    }
    for (let round = 0; round < roundCount; round += 1) {
        chooser = new ModelChooser({ evidence, random, clock });
        first.push(...classes.map(decide));
    }
    return [describe("plans formed anew, slowest decision", again), describe("first plans of a class", first)];
}

function describe(name: string, milliseconds: readonly number[]): ReportRow {
    const sorted = [...milliseconds].sort((left, right) => left - right);
    const quantile = (share: number) => Math.round(1000 * sorted[Math.floor(share * (sorted.length - 1))]);
    return { name, figures: { "median in µs": quantile(0.5), "95% in µs": quantile(0.95), "count": sorted.length } };
}
