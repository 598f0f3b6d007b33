import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { Evidence, ModelChooser } from "../../../src/decisions/model/index.js";
import type { ModelVersion } from "../../../src/world/index.js";

const requestClass = "plans";
const small = createVersion("small@1", 0.1, 0.6);
const medium = createVersion("medium@1", 1, 0.8);
const large = createVersion("large@1", 8, 0.93);
const candidates = [small, medium, large];

describe("ModelChooser", () => {
    describe("choose", () => {
        it("chooses the version of the highest expected quality for a new class", () => {
            const { choose } = createFixture();
            const plan = choose({ areRatingsAvailable: false });
            expect(plan.steps.map(step => step.version.id)).toEqual([large.id]);
        });

        it("chooses the cheapest single version that is known to meet the target", () => {
            const { addRatings, choose } = createFixture();
            addRatings(small, 400, 0.6, 0.02);
            addRatings(medium, 400, 0.88, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            expect(choose({ areRatingsAvailable: false }).steps.map(step => step.version.id)).toEqual([medium.id]);
        });

        it("chooses a cascade where the cheap version is often good and its ratings show when", () => {
            const { addRatings, addEscalations, choose } = createFixture();
            addRatings(small, 300, 0.95, 0.02);
            addRatings(small, 200, 0.3, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            addRatings(medium, 400, 0.7, 0.02);
            addEscalations(100, 0.3, 0.9);
            const plan = choose({});
            expect(plan.steps.map(step => step.version.id)).toEqual([small.id, large.id]);
            const acceptScore = plan.steps[0].acceptScore ?? 0;
            expect(acceptScore > 0.4 && acceptScore < 0.95).toEqual(true);
            expect(plan.steps[1].acceptScore).toEqual(undefined);
        });

        // Guards against a cascade that relies on the expensive version's overall mean. Requests that the cheap version
        // answers badly may be difficult for the expensive one too, so the cascade would miss the target on the very
        // requests that it escalates.
        it("meets the target where the expensive version does worse on the same requests", () => {
            const { addRatings, addEscalations, choose, random } = createFixture();
            addRatings(small, 300, 0.84, 0.02);
            addRatings(small, 200, 0.3, 0.02);
            addRatings(large, 300, 0.97, 0.01);
            addRatings(large, 200, 0.7, 0.02);
            addEscalations(200, 0.3, 0.7);
            const { steps } = choose({ candidates: [small, large] });
            let sum = 0;
            const count = 5000;
            for (let request = 0; request < count; request += 1) {
                const isDifficult = random.next() < 0.4;
                const firstScore = (isDifficult ? 0.3 : 0.84) + 0.02 * random.nextNormal();
                const isAnsweredByLarge = steps[0].version === large || firstScore < steps[0].acceptScore!;
                sum += isAnsweredByLarge ? (isDifficult ? 0.7 : 0.97) : firstScore;
            }
            expect(sum / count >= 0.8).toEqual(true);
        });

        it("includes the cost of a long history in both steps of a cascade", () => {
            const { addRatings, choose } = createFixture();
            addRatings(small, 300, 0.95, 0.02);
            addRatings(small, 200, 0.3, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            const short = choose({ inputTokens: 100, outputTokens: 100 });
            const long = choose({ inputTokens: 100_000, outputTokens: 100 });
            expect(long.expectedCost > 200 * short.expectedCost).toEqual(true);
        });

        // Guards against cascades during an outage of the rating service. No first answer could be accepted, so every
        // request would be escalated, and callers would wait and pay for two answers.
        it("chooses no cascade and no exploration while ratings are unavailable", () => {
            const { addRatings, choose } = createFixture();
            addRatings(small, 300, 0.95, 0.02);
            addRatings(small, 200, 0.3, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            for (let request = 0; request < 200; request += 1) {
                const plan = choose({ areRatingsAvailable: false });
                expect(plan.steps.length).toEqual(1);
                expect(plan.isExploring).toEqual(false);
            }
        });

        // Guards against cascades for callers that read the answer as a stream. A cascade holds its first answer back
        // until it is complete and rated, which takes seconds: the wait for the first token would far exceed the
        // workspace's limit while all engines are idle.
        it("chooses the cheapest single version where a cascade's first token would be too late", () => {
            const { addRatings, addEscalations, choose } = createFixture();
            addRatings(small, 300, 0.95, 0.02);
            addRatings(small, 200, 0.3, 0.02);
            addRatings(medium, 12, 0.82, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            addEscalations(100, 0.3, 0.9);
            const steps: number[] = [];
            for (let request = 0; request < 200; request += 1) {
                steps.push(choose({ isCascadeInTime: () => false }).steps.length);
            }
            expect(Math.max(...steps)).toEqual(1);
            expect(choose({ isCascadeInTime: () => false, candidates: [small, large] }).steps[0].version).toEqual(
                large,
            );
            expect(choose({ isCascadeInTime: first => first === small }).steps.length).toEqual(2);
        });

        it("applies a price change at once", () => {
            const { addRatings, choose } = createFixture();
            addRatings(medium, 400, 0.88, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            expect(choose({ areRatingsAvailable: false }).steps[0].version.id).toEqual(medium.id);
            const moreExpensive = { ...medium, inputPrice: 20, outputPrice: 80 };
            const plan = choose({ areRatingsAvailable: false, candidates: [small, moreExpensive, large] });
            expect(plan.steps[0].version.id).toEqual(large.id);
        });

        // Guards against a late reaction to a version that becomes bad after a good hour. Its many good ratings would
        // outweigh the new bad ones for a long time, and callers would continue to get bad answers.
        it("stops choosing a version soon after it became bad", () => {
            const { addRatings, choose, clock } = createFixture();
            addRatings(large, 400, 0.95, 0.02);
            for (let minute = 0; minute < 60; minute += 1) {
                clock.advance(60_000);
                addRatings(medium, 50, 0.88, 0.05);
            }
            expect(choose({ areRatingsAvailable: false }).steps[0].version.id).toEqual(medium.id);
            clock.advance(60_000);
            addRatings(medium, 30, 0.6, 0.05);
            clock.advance(60_000);
            expect(choose({ areRatingsAvailable: false }).steps[0].version.id).toEqual(large.id);
        });

        // Guards against excluding a good version permanently after three unluckily low ratings. If it were never
        // explored again, the class would stay with a version that is known to miss the target, although a better one is
        // available.
        it("continues to explore a version that may meet the target while none is known to", () => {
            const { addRatings, choose } = createFixture();
            addRatings(medium, 500, 0.7, 0.02);
            addRatings(large, 3, 0.6, 0.02);
            let lateExplorations = 0;
            for (let request = 0; request < 2000; request += 1) {
                const isExploration = choose({ candidates: [medium, large] }).steps[0].version === large;
                lateExplorations += isExploration && request >= 1000 ? 1 : 0;
            }
            expect(lateExplorations > 0).toEqual(true);
        });

        // Guards against delayed tokens. Creating plans takes longer than callers may wait for their next token, so it
        // runs in steps after the request, and the previous plans are used until the last step is done.
        it("refreshes due plans after the request, in steps", () => {
            const steps: (() => void)[] = [];
            const { addRatings, choose, clock } = createFixture({ schedule: step => steps.push(step) });
            const getVersion = () => choose({ areRatingsAvailable: false }).steps[0].version.id;
            addRatings(medium, 400, 0.88, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            expect(getVersion()).toEqual(medium.id);
            addRatings(medium, 600, 0.6, 0.02);
            addRatings(large, 10, 0.95, 0.02);
            clock.advance(4000);
            expect(getVersion()).toEqual(medium.id);
            let count = 0;
            for (let step = steps.shift(); step !== undefined; step = steps.shift()) {
                expect(getVersion()).toEqual(medium.id);
                step();
                count += 1;
            }
            expect(count > 2).toEqual(true);
            expect(getVersion()).toEqual(large.id);
        });

        // Guards against outdated plans. If a version becomes bad while a class has no requests, the old plans would send
        // the next callers to that version.
        it("refreshes outdated plans before it chooses", () => {
            const { addRatings, choose, clock } = createFixture({ schedule: () => {} });
            addRatings(medium, 400, 0.88, 0.02);
            addRatings(large, 400, 0.95, 0.02);
            expect(choose({ areRatingsAvailable: false }).steps[0].version.id).toEqual(medium.id);
            addRatings(medium, 600, 0.6, 0.02);
            clock.advance(60_000);
            expect(choose({ areRatingsAvailable: false }).steps[0].version.id).toEqual(large.id);
        });

        it("returns a plan without steps if there is no candidate", () => {
            const { choose } = createFixture();
            expect(choose({ candidates: [] }).steps).toEqual([]);
        });

        it("keeps the mean quality at the target while it explores", () => {
            const { evidence, choose, clock, random } = createFixture();
            const qualities = new Map([[small.id, 0.55], [medium.id, 0.86], [large.id, 0.94]]);
            let sum = 0;
            let explorations = 0;
            const count = 5000;
            for (let request = 0; request < count; request += 1) {
                clock.advance(100);
                const plan = choose({});
                explorations += plan.isExploring ? 1 : 0;
                for (const { version, acceptScore } of plan.steps) {
                    const score = clamp(qualities.get(version.id)! + 0.15 * random.nextNormal());
                    evidence.addRating({ version: version.id, requestClass, score });
                    if (acceptScore === undefined || score >= acceptScore) {
                        sum += score;
                        break;
                    }
                }
            }
            expect(explorations > 0).toEqual(true);
            expect(sum / count >= 0.8).toEqual(true);
        });
    });
});

function createFixture(options: { schedule?: (step: () => void) => void; } = {}) {
    const clock = new ManualClock(1_800_000_000_000);
    const random = new RandomSource(11);
    const evidence = new Evidence({ clock });
    const chooser = new ModelChooser({ evidence, random, clock, ...options });
    const request = {
        requestClass,
        candidates,
        targetQuality: 0.8,
        confidence: 0.95,
        inputTokens: 1000,
        outputTokens: 200,
    };
    return {
        clock,
        random,
        evidence,
        choose: (changes: Partial<Parameters<ModelChooser["choose"]>[0]>) => chooser.choose({ ...request, ...changes }),
        addEscalations: (count: number, firstScore: number, secondScore: number) => {
            for (let escalation = 0; escalation < count; escalation += 1) {
                evidence.addEscalation({ first: small.id, second: large.id, requestClass, firstScore, secondScore });
            }
        },
        addRatings: (version: ModelVersion, count: number, mean: number, deviation: number) => {
            for (let rating = 0; rating < count; rating += 1) {
                const score = clamp(mean + deviation * random.nextNormal());
                evidence.addRating({ version: version.id, requestClass, score });
            }
        },
    };
}

function createVersion(id: string, inputPrice: number, expectedQuality: number): ModelVersion {
    const model = id.split("@")[0];
    return { id, model, status: "serving", inputPrice, outputPrice: 4 * inputPrice, expectedQuality };
}

function clamp(value: number): number {
    return Math.min(1, Math.max(0, value));
}
