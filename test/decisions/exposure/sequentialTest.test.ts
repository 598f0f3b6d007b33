import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../../src/common/index.js";
import { SequentialTest, type Stratum } from "../../../src/decisions/exposure/index.js";
import { Tally } from "../../../src/decisions/model/index.js";

describe("SequentialTest", () => {
    describe("evaluate", () => {
        it("detects a version that gives more bad answers", () => {
            expect(runUntilBad({ bad: 0.3, failed: 0, slow: 0 }).metric).toEqual("bad ratings");
        });

        it("detects a version that fails more often", () => {
            expect(runUntilBad({ bad: 0.03, failed: 0.3, slow: 0 }).metric).toEqual("errors");
        });

        it("detects a version that is slow but otherwise good", () => {
            expect(runUntilBad({ bad: 0.03, failed: 0, slow: 0.5 }).metric).toEqual("latency");
        });

        it("reports the only class in which a version is bad", () => {
            const result = runUntilBad({ bad: 0.5, failed: 0, slow: 0 }, ["allergens"]);
            expect(result.requestClass).toEqual("allergens");
        });

        // Guards against late detection of a version that becomes bad after a good hour. Summed over the whole hour its
        // answers would still look good, and callers would get bad answers for as long again.
        it("detects a version that becomes bad after a long good time", () => {
            const fixture = createFixture();
            for (let epoch = 0; epoch < 200; epoch += 1) {
                fixture.add(epoch, 20, { bad: 0.03, failed: 0, slow: 0 });
            }
            expect(fixture.evaluate().isBad).toEqual(false);
            let epochs = 0;
            while (!fixture.evaluate().isBad && epochs < 30) {
                fixture.add(200 + epochs, 10, { bad: 0.4, failed: 0, slow: 0 });
                epochs += 1;
            }
            expect(epochs < 10).toEqual(true);
        });

        // Guards against false halts by repeated evaluation. The test is evaluated after every few answers. A test that
        // is valid for a single evaluation only would sooner or later halt most good versions. The versions here are
        // worse by exactly the margin, the hardest case that still counts as good.
        it("halts few of many versions at the margin despite frequent evaluation", () => {
            let halted = 0;
            for (let seed = 1; seed <= 200; seed += 1) {
                const fixture = createFixture(seed);
                for (let epoch = 0; epoch < 60; epoch += 1) {
                    fixture.add(epoch, 8, { bad: 0.04, failed: 0.015, slow: 0.1 });
                    if (fixture.evaluate().isBad) {
                        halted += 1;
                        break;
                    }
                }
            }
            expect(halted <= 10).toEqual(true);
        });

        it("finds nothing without a reference", () => {
            const fixture = createFixture(1, 0);
            fixture.add(0, 100, { bad: 1, failed: 1, slow: 1 });
            expect(fixture.evaluate().isBad).toEqual(false);
        });
    });
});

interface Chances {
    readonly bad: number;
    readonly failed: number;
    readonly slow: number;
}

const classes = ["allergens", "label-drafts"];

function runUntilBad(chances: Chances, badClasses: readonly string[] = classes) {
    const fixture = createFixture();
    for (let epoch = 0; epoch < 100; epoch += 1) {
        fixture.add(epoch, 4, chances, badClasses);
        const result = fixture.evaluate();
        if (result.isBad) {
            return result;
        }
    }
    throw new Error("The version was not found bad within 100 epochs.");
}

function createFixture(seed = 1, referenceAnswers = 20_000) {
    const random = new RandomSource(seed);
    const good: Chances = { bad: 0.03, failed: 0.005, slow: 0.05 };
    const test = new SequentialTest({ threshold: 20, initialChangeWeight: 0.6, laterChangeWeight: 0.4 / 200 });
    const strata = classes.map(requestClass => ({
        requestClass,
        buckets: [] as { start: number; level: number; tally: Tally; }[],
        reference: getReference(referenceAnswers, good),
    }));
    return {
        add: (epoch: number, answers: number, chances: Chances, badClasses: readonly string[] = classes) => {
            for (const { requestClass, buckets } of strata) {
                const drawn = badClasses.includes(requestClass) ? chances : good;
                buckets.push({ start: epoch, level: 0, tally: drawTally(random, answers, drawn) });
            }
        },
        evaluate: () => test.evaluate(strata as readonly Stratum[]),
    };
}

const references = new Map<number, Tally>();

/** Draws the reference once for all fixtures, since it is large. */
function getReference(answers: number, chances: Chances): Tally {
    let reference = references.get(answers);
    if (reference === undefined) {
        reference = drawTally(new RandomSource(99), answers, chances);
        references.set(answers, reference);
    }
    return reference;
}

function drawTally(random: RandomSource, answers: number, chances: Chances): Tally {
    const tally = new Tally();
    for (let answer = 0; answer < answers; answer += 1) {
        tally.addAnswer(random.next() < chances.failed, random.next() < chances.slow);
        const mean = random.next() < chances.bad ? 0.25 : 0.85;
        tally.addRating(mean + 0.08 * random.nextNormal());
    }
    return tally;
}
