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

/** Creates evidence of both versions over some seconds. The new version gives one of seven answers. */
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

describe("evaluateRollout", () => {
    it("finds a version that fails half of its requests", () => {
        const regression = evaluateRollout(createEvidence(1, good, { failures: 0.5, median: 100 }).getCounts(4_000));
        expect(regression?.reason).toEqual("failures");
    });

    it("finds a version that is eight times as slow", () => {
        const regression = evaluateRollout(createEvidence(2, good, { failures: 0.01, median: 800 }).getCounts(4_000));
        expect(regression?.reason).toEqual("slow");
    });

    // The new version is as good as the old one, and both lose answers in transit. A halt would keep callers on
    // the old version unnecessarily.
    it("does not find a good version bad for failures that both versions have", () => {
        for (let seed = 0; seed < 200; seed += 1) {
            const lossy: Behaviour = { failures: 0.2, median: 150 };
            expect(evaluateRollout(createEvidence(seed, lossy, lossy).getCounts(4_000))).toEqual(undefined);
        }
    });

    // Guards against reverting a good version because of a short busy period. It raises the time of an answer from one
    // millisecond to four, which no caller with an objective of a second notices.
    it("does not find a good version bad for a difference that no caller notices", () => {
        for (let seed = 0; seed < 200; seed += 1) {
            const [quick, busy] = [1.2, 4].map(median => ({ failures: 0.01, median }));
            expect(evaluateRollout(createEvidence(seed, quick, busy).getCounts(4_000))).toEqual(undefined);
        }
    });

    // The new version fails only under the load of all callers, when the old one serves none any more.
    it("finds a version that fails when there are no answers to compare with", () => {
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

    it("uses the answers of the last seconds only", () => {
        const evidence = createEvidence(3, good, { failures: 0.5, median: 100 });
        expect(evaluateRollout(evidence.getCounts(20_000))).toEqual(undefined);
    });

    // Each node alone has too little evidence of a bad version. Only the sum over nodes suffices.
    it("sums the evidence of several nodes", () => {
        const parts = [11, 12, 13, 14].map(seed => createEvidence(seed, good, { failures: 0.5, median: 100 }, 45));
        const received = parts.map(part =>
            decodeReport(encodeReport({ order: 1, currentInFlight: 0, segments: part.getCounts(400) }))!
        );
        expect(received.map(report => evaluateRollout(report.segments))).toEqual([
            undefined,
            undefined,
            undefined,
            undefined,
        ]);
        expect(evaluateRollout(addEvidence(received.map(report => report.segments)))?.reason).toEqual("failures");
    });
});
