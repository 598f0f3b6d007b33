import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { Evidence } from "../../../src/decisions/model/index.js";
import { QualityModel } from "../../../src/decisions/model/qualityModel.js";
import type { ModelVersion } from "../../../src/world/index.js";

const versions = [
    createVersion("small@1", 0.1, 0.6),
    createVersion("medium@1", 1, 0.75),
    createVersion("large@1", 8, 0.9),
];
const [small, medium, large] = versions;

describe("QualityModel", () => {
    // Guards against high costs of a new class. Without the ratings of other classes and versions, its callers would pay
    // for the most expensive version until each cheaper one has enough ratings of its own.
    it("estimates a version in a new class from other classes and other versions", () => {
        const { model, addRatings, refreshAll } = createFixture();
        for (const [index, ease] of [0, 0.05, -0.05, 0.02].entries()) {
            addRatings(small, `class-${index}`, 200, 0.55 + ease);
            addRatings(medium, `class-${index}`, 200, 0.65 + ease);
            addRatings(large, `class-${index}`, 200, 0.9 + ease);
            refreshAll(`class-${index}`);
        }
        addRatings(large, "new", 60, 0.8);
        refreshAll("new");
        const { mean, deviation, scores } = model.getEstimate(medium, "new");
        expect(scores.ratings).toEqual(0);
        expect(Math.abs(mean - 0.55) < 0.05).toEqual(true);
        expect(deviation < 0.1).toEqual(true);
    });

    // Guards against underestimating a version that answers only what a cheaper one answered badly. All its ratings
    // belong to difficult requests. Uncorrected, they would conceal that it meets the target by itself when ratings are
    // unavailable and cascades stop.
    it("estimates a version that only answers second", () => {
        const { model, evidence, random, addRatings, refreshAll } = createFixture();
        addRatings(small, "plans", 400, 0.6);
        for (let escalation = 0; escalation < 400; escalation += 1) {
            const firstScore = 0.3 + 0.3 * random.next();
            const secondScore = 0.9 - 0.5 * (0.6 - firstScore) + 0.05 * random.nextNormal();
            evidence.addEscalation({
                first: small.id,
                second: large.id,
                requestClass: "plans",
                firstScore,
                secondScore,
            });
        }
        refreshAll("plans");
        const { mean, deviation } = model.getEstimate({ ...large, expectedQuality: 0.7 }, "plans");
        expect(Math.abs(mean - 0.9) < 0.03).toEqual(true);
        expect(deviation < 0.04).toEqual(true);
    });

    it("reads the counts of a version only if they changed", () => {
        const { model, addRatings, refreshAll } = createFixture();
        addRatings(small, "plans", 10, 0.6);
        refreshAll("plans");
        expect(model.refresh(small, "plans")).toEqual(false);
        addRatings(small, "plans", 1, 0.6);
        expect(model.refresh(small, "plans")).toEqual(true);
        expect(model.refresh(medium, "plans")).toEqual(false);
    });
});

function createFixture() {
    const clock = new ManualClock(1_800_000_000_000);
    const random = new RandomSource(5);
    const evidence = new Evidence({ clock });
    const model = new QualityModel(evidence, clock);
    return {
        model,
        evidence,
        random,
        addRatings: ({ id }: ModelVersion, requestClass: string, count: number, mean: number) => {
            for (let rating = 0; rating < count; rating += 1) {
                evidence.addRating({ version: id, requestClass, score: mean + 0.05 * random.nextNormal() });
            }
        },
        refreshAll: (requestClass: string) => {
            for (const version of versions) {
                model.refresh(version, requestClass);
            }
            model.fit(requestClass, versions);
        },
    };
}

function createVersion(id: string, inputPrice: number, expectedQuality: number): ModelVersion {
    const model = id.split("@")[0];
    return { id, model, status: "serving", inputPrice, outputPrice: 4 * inputPrice, expectedQuality };
}
