import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../../src/common/index.js";
import { PrefillRate } from "../../../src/decisions/dispatch/prefillRate.js";

/** An engine whose time to read grows faster than the prompt: each token is compared with all before it. */
interface Engine {
    readonly millisecondsPerToken: number;
    readonly millisecondsPerMillionPairs: number;
}

function getPrefillMilliseconds({ millisecondsPerToken, millisecondsPerMillionPairs }: Engine, tokens: number): number {
    return tokens * millisecondsPerToken + tokens ** 2 / 1_000_000 * millisecondsPerMillionPairs;
}

/** Lets an engine answer prompts of all sizes; every fourth one waited behind other work for up to half a second. */
function trainRate(engine: Engine, answers: number, seed: number): PrefillRate {
    const random = new RandomSource(seed);
    const rate = new PrefillRate();
    for (let answer = 0; answer < answers; answer += 1) {
        const tokens = Math.min(60_000, 3_000 * Math.exp(1.2 * random.nextNormal()));
        const queueMilliseconds = answer % 4 === 0 ? random.nextInteger(500) : 0;
        const headMilliseconds = 60 + 75 + getPrefillMilliseconds(engine, tokens) + queueMilliseconds;
        rate.add({ model: "large", tokens, fixedHeadMilliseconds: headMilliseconds, waitingMilliseconds: 75 });
    }
    return rate;
}

describe("ReadingPace", () => {
    // A caller sends a job history of 40,000 tokens. Expected in a third of the time that reading it takes, its answer is thrown
    // away for one of a larger model that cannot begin within the objective, and the caller gets it late.
    for (
        const [name, engine] of [
            ["a slow engine", { millisecondsPerToken: 0.024, millisecondsPerMillionPairs: 0.8 }],
            ["one five times as fast", { millisecondsPerToken: 0.005, millisecondsPerMillionPairs: 0.16 }],
            ["one that reads evenly", { millisecondsPerToken: 0.05, millisecondsPerMillionPairs: 0 }],
        ] as const
    ) {
        it(`follows ${name} within 300 answers, for short and for long prompts`, () => {
            const paces = trainRate(engine, 300, 7);
            for (const tokens of [3_000, 12_000, 40_000]) {
                const ratio = paces.getPrefillMilliseconds("large", tokens) / getPrefillMilliseconds(engine, tokens);
                expect([tokens, ratio > 0.6 && ratio < 1.6]).toEqual([tokens, true]);
            }
        });
    }

    it("takes the pace of other sizes for one that it has not met", () => {
        const paces = new PrefillRate();
        for (let answer = 0; answer < 60; answer += 1) {
            paces.add({ model: "large", tokens: 1_500, fixedHeadMilliseconds: 210, waitingMilliseconds: 0 });
        }
        const ratio = paces.getPrefillMilliseconds("large", 6_000) / 600;
        expect(ratio > 0.8 && ratio < 1.25).toEqual(true);
        expect(paces.getPrefillMilliseconds("small", 1_500)).toEqual(18);
    });
});
