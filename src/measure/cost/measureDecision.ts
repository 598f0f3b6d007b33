/** Measures the time of one decision with 11 versions, 20 classes and the evidence of eight entries. */
import { performance } from "node:perf_hooks";
import { RandomSource, systemClock } from "../../common/index.js";
import { Evidence, ModelChooser } from "../../decisions/model/index.js";
import type { ReportRow } from "../report.js";
import { CostEnvironment } from "./costEnvironment.js";

const classCount = 20;
const entryCount = 8;
const ratingsPerClass = 400;
const decisionCount = 400_000;
const changesPerDecision = 0.3;

/** Times decisions while new ratings keep changing the evidence, so that replanning is included. */
export function measureDecision(seed: number): ReportRow {
    const random = new RandomSource(seed);
    const versions = new CostEnvironment(seed).getVersions(0);
    const evidence = new Evidence({ clock: systemClock });
    const addRating = (target: Evidence) =>
        target.addRating({
            version: versions[random.nextInteger(versions.length)].id,
            requestClass: `class-${random.nextInteger(classCount)}`,
            score: random.next(),
            answeredAt: systemClock.wall() - random.nextExponential(600_000),
        });
    for (let entry = 0; entry < entryCount; entry += 1) {
        const other = new Evidence({ clock: systemClock });
        for (let rating = 0; rating < ratingsPerClass * classCount; rating += 1) {
            addRating(other);
        }
        evidence.merge(`entry-${entry}`, other.exportOwn());
    }
    const chooser = new ModelChooser({ evidence, random, clock: systemClock });
    let slowest = 0;
    const startedAt = performance.now();
    for (let decision = 0; decision < decisionCount; decision += 1) {
        if (random.next() < changesPerDecision) {
            addRating(evidence);
        }
        const before = performance.now();
        chooser.choose({
            requestClass: `class-${decision % classCount}`,
            candidates: versions,
            targetQuality: 0.8,
            confidence: 0.95,
            inputTokens: 1000,
            outputTokens: 200,
        });
        slowest = Math.max(slowest, performance.now() - before);
    }
    const microseconds = (performance.now() - startedAt) / decisionCount * 1000;
    return {
        name: "choose, with ratings coming in",
        figures: {
            "mean in µs": microseconds,
            "slowest in µs (plans formed anew)": Math.round(slowest * 1000),
            "bytes of one node's counts": JSON.stringify(evidence.exportOwn()).length,
        },
    };
}
