import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../src/common/index.js";
import { mergePaces, type PaceEstimate } from "../../src/pace/index.js";

const variance = 0.04;

function merge(ofUpstreams: readonly (readonly PaceEstimate[])[], priorVariance = variance): readonly number[] {
    const sorted = ofUpstreams.map(estimates => estimates.toSorted((left, right) => left.logPace - right.logPace));
    const { paces } = mergePaces(new Map(sorted.entries()), priorVariance);
    return ofUpstreams.map((...[, index]) => Math.exp(paces.get(index)?.logPace ?? 0));
}

function repeat(logPace: number, nodes = 10, weight = 3): readonly PaceEstimate[] {
    return Array.from({ length: nodes }, () => ({ logPace, weight }));
}

describe("mergePaces", () => {
    it("returns paces relative to the pool's mean", () => {
        const merged = merge([...Array(10).keys()].map(index => repeat(index < 5 ? Math.log(0.7) : Math.log(1.7))));
        expect(merged[0]).toBeCloseTo(0.7 / Math.sqrt(0.7 * 1.7), 0.03);
        expect(merged[9]).toBeCloseTo(1.7 / Math.sqrt(0.7 * 1.7), 0.06);
    });

    // Guards against one node that measured under a passing slow-down and makes a runner slow for all.
    it("is hardly changed by a single node", () => {
        const odd = [...repeat(0, 9), { logPace: Math.log(10), weight: 3 }];
        const merged = merge([odd, ...Array.from({ length: 9 }, () => repeat(0))]);
        expect(merged[0]).toBeCloseTo(1, 0.02);
    });

    // Guards against deployments with even runners whose choice changes because of noise.
    it("stays within 10% of 1 when noise explains all differences", () => {
        for (let seed = 1; seed <= 20; seed += 1) {
            const random = new RandomSource(seed);
            const noise = Math.sqrt(variance);
            const merged = merge(
                Array.from(
                    { length: 63 },
                    () => Array.from({ length: 5 }, () => ({ logPace: noise * random.nextNormal(), weight: 1 })),
                ),
            );
            expect(Math.max(...merged.map(pace => Math.max(pace, 1 / pace)))).toBeLessThan(1.1);
        }
    });

    // Guards against upstreams that are avoided after a single sample.
    it("draws an upstream with few samples closer to 1 than one with many", () => {
        const noisy = (logPace: number): readonly PaceEstimate[] =>
            repeat(logPace, 9).map((estimate, node) => ({ ...estimate, logPace: logPace + 0.2 * (node % 3 - 1) }));
        const usual = Array.from({ length: 30 }, (...[, index]) => noisy(index % 3 === 0 ? 0.5 : -0.25));
        const [few, many] = merge([repeat(0.5, 1, 0.5), noisy(0.5), ...usual]);
        expect(few).toBeLessThan(many - 0.1);
        expect(few).toBeGreaterThan(1);
    });

    it("knows no pace of an only upstream, nor of one without weight", () => {
        expect(merge([repeat(0.5)])).toEqual([1]);
        expect(merge([repeat(0), [{ logPace: 2, weight: 0 }]])[1]).toEqual(1);
    });
});
