import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../../src/common/index.js";
import { PrefillRate } from "../../../src/decisions/dispatch/prefillRate.js";

/** Represents an engine whose prefill time grows faster than the prompt, since attention compares each token with all before it. */
interface Engine {
    readonly millisecondsPerToken: number;
    readonly millisecondsPerMillionPairs: number;
}

function getPrefillMilliseconds({ millisecondsPerToken, millisecondsPerMillionPairs }: Engine, tokens: number): number {
    return tokens * millisecondsPerToken + tokens ** 2 / 1_000_000 * millisecondsPerMillionPairs;
}

/** Trains a rate with answers of an engine to prompts of all sizes. Every fourth prompt is queued for up to half a second. */
function trainRate(engine: Engine, answers: number, seed: number): PrefillRate {
    const random = new RandomSource(seed);
    const rate = new PrefillRate();
    for (let answer = 0; answer < answers; answer += 1) {
        const tokens = Math.min(60_000, 3_000 * Math.exp(1.2 * random.nextNormal()));
        const queueMilliseconds = answer % 4 === 0 ? random.nextInteger(500) : 0;
        const measuredMilliseconds = 60 + 75 + getPrefillMilliseconds(engine, tokens) + queueMilliseconds;
        rate.add({ model: "large", tokens, headMilliseconds: measuredMilliseconds, waitingMilliseconds: 75 });
    }
    return rate;
}

describe("PrefillRate", () => {
    // Guards against underestimated prefill times of long prompts. If the answer to a prompt of 40,000 tokens is expected in a third of
    // the time that the prefill takes, it is discarded and a larger model is called, which cannot start within the objective either.
    // The caller gets the answer late.
    for (
        const [name, engine] of [
            ["a slow engine", { millisecondsPerToken: 0.024, millisecondsPerMillionPairs: 0.8 }],
            ["an engine that is five times as fast", {
                millisecondsPerToken: 0.005,
                millisecondsPerMillionPairs: 0.16,
            }],
            ["an engine with linear prefill time", { millisecondsPerToken: 0.05, millisecondsPerMillionPairs: 0 }],
        ] as const
    ) {
        it(`estimates the rate of ${name} within 300 answers, for short and for long prompts`, () => {
            const prefillRate = trainRate(engine, 300, 7);
            for (const tokens of [3_000, 12_000, 40_000]) {
                const ratio = prefillRate.getPrefillMilliseconds("large", tokens)
                    / getPrefillMilliseconds(engine, tokens);
                expect([tokens, ratio > 0.6 && ratio < 1.6]).toEqual([tokens, true]);
            }
        });
    }

    it("uses the rate of the nearest size class for a size without answers", () => {
        const prefillRate = new PrefillRate();
        for (let answer = 0; answer < 60; answer += 1) {
            prefillRate.add({ model: "large", tokens: 1_500, headMilliseconds: 210, waitingMilliseconds: 0 });
        }
        const ratio = prefillRate.getPrefillMilliseconds("large", 6_000) / 600;
        expect(ratio > 0.8 && ratio < 1.25).toEqual(true);
        expect(prefillRate.getPrefillMilliseconds("small", 1_500)).toEqual(18);
    });
});
