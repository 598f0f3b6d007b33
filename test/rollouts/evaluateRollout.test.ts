import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../src/common/index.js";
import { evaluateRollout } from "../../src/rollouts/evaluateRollout.js";
import { addEvidence, decodeReport, encodeReport, RolloutEvidence } from "../../src/rollouts/rolloutEvidence.js";

interface Behaviour {
    readonly failures: number;
    /** Median time to the head of an answer, in milliseconds. */
    readonly median: number;
}

/** Answers of the old and the new version over some seconds, one in seven by the new one. */
function createEvidence(seed: number, current: Behaviour, candidate: Behaviour, count = 400): RolloutEvidence {
    const random = new RandomSource(seed);
    const evidence = new RolloutEvidence();
    for (let index = 0; index < count; index += 1) {
        const isCandidate = index % 7 === 0;
        const { failures, median } = isCandidate ? candidate : current;
        evidence.add({
            segment: `route ${index % 3}`,
            isCandidate,
            hasFailed: random.next() < failures,
            headMilliseconds: median * Math.exp(0.6 * random.nextNormal()),
            objectiveMilliseconds: 1_000,
        }, index * 10);
    }
    return evidence;
}

const good: Behaviour = { failures: 0.01, median: 100 };

describe("judgeRollout", () => {
    it("finds a version that fails half of its requests", () => {
        const verdict = evaluateRollout(createEvidence(1, good, { failures: 0.5, median: 100 }).getCounts(4_000));
        expect(verdict?.reason).toEqual("failures");
    });

    it("finds a version that takes eight times as long", () => {
        const verdict = evaluateRollout(createEvidence(2, good, { failures: 0.01, median: 800 }).getCounts(4_000));
        expect(verdict?.reason).toEqual("slow");
    });

    // The new version is as good as the old one, and both lose answers on the way. Halting it would keep callers on the old
    // version for no reason.
    it("does not blame a good version for failures that both have", () => {
        for (let seed = 0; seed < 200; seed += 1) {
            const lossy: Behaviour = { failures: 0.2, median: 150 };
            expect(evaluateRollout(createEvidence(seed, lossy, lossy).getCounts(4_000))).toEqual(undefined);
        }
    });

    // A busy moment makes answers of a millisecond take four. Callers are promised a second, and a good version was taken back.
    it("does not blame a good version for a difference that no caller notices", () => {
        for (let seed = 0; seed < 200; seed += 1) {
            const [quick, busy] = [1.2, 4].map(median => ({ failures: 0.01, median }));
            expect(evaluateRollout(createEvidence(seed, quick, busy).getCounts(4_000))).toEqual(undefined);
        }
    });

    // The new version breaks under the load of all callers, when nobody is served by the old one any more.
    it("finds a version that fails when there is nothing left to compare it with", () => {
        const evidence = new RolloutEvidence();
        for (let index = 0; index < 40; index += 1) {
            evidence.add(
                {
                    segment: "route",
                    isCandidate: true,
                    hasFailed: index % 2 === 0,
                    headMilliseconds: 100,
                    objectiveMilliseconds: 1_000,
                },
                index * 20,
            );
        }
        expect(evaluateRollout(evidence.getCounts(800))?.reason).toEqual("failures");
    });

    it("judges by the last seconds only", () => {
        const evidence = createEvidence(3, good, { failures: 0.5, median: 100 });
        expect(evaluateRollout(evidence.getCounts(20_000))).toEqual(undefined);
    });

    // No node alone has seen enough of a bad version; together they have.
    it("adds up what several nodes have seen", () => {
        const parts = [11, 12, 13, 14].map(seed => createEvidence(seed, good, { failures: 0.5, median: 100 }, 45));
        const heard = parts.map(part =>
            decodeReport(encodeReport({ order: 1, currentInFlight: 0, segments: part.getCounts(400) }))!
        );
        expect(heard.map(report => evaluateRollout(report.segments))).toEqual([
            undefined,
            undefined,
            undefined,
            undefined,
        ]);
        expect(evaluateRollout(addEvidence(heard.map(report => report.segments)))?.reason).toEqual("failures");
    });
});
