import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../src/common/index.js";
import { assessEvidence, evaluateRollout } from "../../src/rollouts/evaluateRollout.js";
import { addEvidence, decodeReport, encodeReport, RolloutEvidence } from "../../src/rollouts/rolloutEvidence.js";
import { TimeReferences } from "../../src/rollouts/timeReferences.js";

interface Behaviour {
    readonly failures: number;
    /** Median time to the head of an answer, in milliseconds. */
    readonly median: number;
    /** Share of the answers that take eight times as long. */
    readonly slowShare?: number;
    /** Time after which callers leave. */
    readonly patience?: number;
}

interface EvidenceOptions {
    readonly count?: number;
    readonly kinds?: number;
    /** Every so many answers, the new version gives one. */
    readonly candidateInterval?: number;
}

/** Creates evidence of both versions over some seconds. */
function createEvidence(
    seed: number,
    current: Behaviour,
    candidate: Behaviour,
    { count = 400, kinds = 3, candidateInterval = 7 }: EvidenceOptions = {},
): RolloutEvidence {
    const random = new RandomSource(seed);
    const evidence = new RolloutEvidence();
    for (let index = 0; index < count; index += 1) {
        const isCandidate = index % candidateInterval === 0;
        const { failures, median, slowShare = 0, patience = Number.POSITIVE_INFINITY } = isCandidate
            ? candidate
            : current;
        const kind = {
            segment: `route ${index % kinds}`,
            isCandidate,
            objectiveMilliseconds: 1_000,
            pauseObjectiveMilliseconds: 600,
        };
        evidence.addOutcome(kind, random.next() < failures, index * 10);
        const factor = random.next() < slowShare ? 8 : 1;
        const milliseconds = factor * median * Math.exp(0.6 * random.nextNormal());
        const hasHead = milliseconds <= patience;
        evidence.addTime(kind, { milliseconds: Math.min(milliseconds, patience), hasHead }, index * 10);
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

    // Guards against keeping a version of which half of the answers are eight times as slow, with few answers of many kinds of request.
    it("finds a version of which half of the answers are slow by a few answers of all kinds together", () => {
        const slow = { ...good, slowShare: 0.5 };
        const options = { count: 400, kinds: 9, candidateInterval: 14 };
        const found = Array.from({ length: 100 }, (...[, seed]) => {
            return evaluateRollout(createEvidence(seed, good, slow, options).getCounts(4_000))?.reason;
        });
        expect(found.filter(reason => reason === "slow").length >= 95).toEqual(true);
    });

    // Guards against knowing only the quick half of a version, since callers leave before the slow answers begin.
    it("counts answers that nobody waited for", () => {
        const slow = { ...good, slowShare: 0.5 };
        for (let seed = 0; seed < 20; seed += 1) {
            const [old, candidate] = [good, slow].map(behaviour => ({ ...behaviour, patience: 500 }));
            expect(evaluateRollout(createEvidence(seed, old, candidate).getCounts(4_000))?.reason).toEqual("slow");
        }
    });

    // Guards against keeping a version whose answers begin in time and then come several times slower.
    it("finds a version that is slow between the parts of its streams", () => {
        const random = new RandomSource(9);
        const evidence = new RolloutEvidence();
        for (let index = 0; index < 120; index += 1) {
            const isCandidate = index % 8 === 0;
            const kind = {
                segment: "stream",
                isCandidate,
                objectiveMilliseconds: 1_000,
                pauseObjectiveMilliseconds: 600,
            };
            evidence.addTime(kind, { milliseconds: 100, hasHead: true }, index * 30);
            evidence.addPause(kind, (isCandidate ? 100 : 25) * Math.exp(0.3 * random.nextNormal()), index * 30);
        }
        expect(evaluateRollout(evidence.getCounts(4_000))?.reason).toEqual("slow between parts");
    });

    // Guards against reverting a good version whose callers leave early.
    it("does not count answers that might still have come in the usual time", () => {
        for (let seed = 0; seed < 200; seed += 1) {
            const evidence = createEvidence(seed, good, { ...good, patience: 120 });
            expect(evaluateRollout(evidence.getCounts(4_000))).toEqual(undefined);
        }
    });

    // Guards against reverting a good version because of a burst, under which both versions are slow.
    it("does not find a good version bad while both are slow", () => {
        for (let seed = 0; seed < 200; seed += 1) {
            const busy = { ...good, slowShare: 0.6 };
            expect(evaluateRollout(createEvidence(seed, busy, busy).getCounts(4_000))).toEqual(undefined);
        }
    });

    // Guards against reverting a good version because the usual times of each kind of request are known by a few answers only.
    it("does not find a good version bad by a few answers of many kinds", () => {
        const states = Array.from({ length: 400 }, (...[, seed]) => {
            const evidence = createEvidence(seed, good, good, { count: 220, kinds: 16, candidateInterval: 5 })
                .getCounts(4_000);
            expect(evaluateRollout(evidence)).toEqual(undefined);
            return assessEvidence(evidence);
        });
        expect(states.includes("sound")).toEqual(true);
        expect(states.filter(state => state === "suspicious").length <= 0.05 * states.length).toEqual(true);
    });

    // Guards against reverting a good version at the end of a roll-out, since it is a little slower when it serves everything.
    it("does not suspect a version that is a fifth slower than the old one was", () => {
        const options = { count: 600, kinds: 16, candidateInterval: 1 };
        const states = Array.from({ length: 200 }, (...[, seed]) => {
            const references = new TimeReferences();
            const old = createEvidence(seed, good, good, { ...options, candidateInterval: 601 });
            references.update(old.getCounts(5_900), 5_900);
            const candidate = createEvidence(seed + 1_000, good, { ...good, median: 120 }, options);
            return assessEvidence(candidate.getCounts(5_900), references);
        });
        expect(states.filter(state => state === "suspicious").length <= 0.02 * states.length).toEqual(true);
    });

    // Guards against taking a version for sound by its outcomes alone, at a node that has started when it served everything.
    it("considers evidence scarce while nothing is known of the old version's times", () => {
        const alone = createEvidence(12, good, good, { count: 60, candidateInterval: 1 }).getCounts(4_000);
        expect(assessEvidence(alone)).toEqual("scarce");
        const references = new TimeReferences();
        references.update(createEvidence(5, good, good).getCounts(4_000), 4_000);
        expect(assessEvidence(alone, references)).toEqual("sound");
    });

    // Guards against keeping a version that turns slow when it serves everything, so that no other answers are there to compare with.
    it("compares with earlier times of the old version once it answers nothing", () => {
        const references = new TimeReferences();
        references.update(createEvidence(5, good, good).getCounts(4_000), 4_000);
        const alone = { count: 60, candidateInterval: 1 };
        const slow = createEvidence(6, good, { ...good, slowShare: 0.5 }, alone).getCounts(4_000);
        const sound = createEvidence(7, good, good, alone).getCounts(4_000);
        expect([evaluateRollout(slow, references)?.reason, evaluateRollout(slow)?.reason]).toEqual(["slow", undefined]);
        expect(evaluateRollout(sound, references)).toEqual(undefined);
    });

    // Guards against taking a slow version that bears little for sound beside an old one that bears a burst, and against finding a
    // good one bad because both versions have become slow since the old one had little to do.
    it("compares answers under equal loads, unless the old version has become slow under its load too", () => {
        const busyLoad = 0.4;
        const idleLoad = 0.1;
        const find = (options: { readonly busy: number; readonly current: number; readonly candidate: number; }) => {
            const random = new RandomSource(13);
            const evidence = new RolloutEvidence();
            const references = new TimeReferences();
            const add = (now: number, load: number, median: number, isCandidate = false): void => {
                const kind = {
                    segment: "route",
                    isCandidate,
                    objectiveMilliseconds: 1_000,
                    pauseObjectiveMilliseconds: 600,
                };
                const milliseconds = median * Math.exp(0.4 * random.nextNormal());
                evidence.addTime({ ...kind, load }, { milliseconds, hasHead: true }, now);
            };
            for (let index = 0; index < 60; index += 1) {
                add(index, idleLoad, 100);
                add(1_000 + index, busyLoad, options.busy);
            }
            references.update(evidence.getCounts(1_500), 1_500);
            for (let index = 0; index < 60; index += 1) {
                add(9_000 + index, busyLoad, options.current);
                add(9_000 + index, idleLoad, options.candidate, true);
            }
            return evaluateRollout(evidence.getCounts(9_500), references)?.reason;
        };
        expect(find({ busy: 500, current: 500, candidate: 400 })).toEqual("slow");
        expect(find({ busy: 500, current: 500, candidate: 100 })).toEqual(undefined);
        expect(find({ busy: 500, current: 2_000, candidate: 400 })).toEqual(undefined);
    });

    // Guards against steps that are taken before it is known how long a version takes, since its upstreams still warm up.
    it("considers evidence scarce while the new version has answers and no times", () => {
        const evidence = createEvidence(10, good, good, { count: 200 });
        const times = evidence.getCounts(4_000);
        const untimed = new Map(Array.from(times, ([segment, { current, candidate }]) => {
            return [segment, { current, candidate: { ...candidate, times: [], waits: [] } }];
        }));
        expect([assessEvidence(times), assessEvidence(untimed)]).toEqual(["sound", "scarce"]);
    });

    // Guards against steps that are taken before it is known how a version's streams go on.
    it("considers evidence scarce while streams of the new version have begun and none has pauses", () => {
        const evidence = createEvidence(11, good, good);
        const kind = { segment: "route 0", objectiveMilliseconds: 1_000, pauseObjectiveMilliseconds: 600 };
        for (let index = 0; index < 40; index += 1) {
            evidence.addPause({ ...kind, isCandidate: false }, 25, 3_900);
        }
        expect(assessEvidence(evidence.getCounts(4_000))).toEqual("scarce");
        for (let index = 0; index < 6; index += 1) {
            evidence.addPause({ ...kind, isCandidate: true }, 25, 3_900);
        }
        expect(assessEvidence(evidence.getCounts(4_000))).toEqual("sound");
    });

    it("assesses what is known of a version that it does not find bad", () => {
        const assess = (candidate: Behaviour, count: number): string => {
            return assessEvidence(createEvidence(8, good, candidate, { count }).getCounts(4_000));
        };
        expect(assess(good, 400)).toEqual("sound");
        expect(assess(good, 70)).toEqual("scarce");
        expect(assess({ ...good, slowShare: 0.5 }, 70)).toEqual("suspicious");
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
            const kind = {
                segment: "route",
                isCandidate: true,
                objectiveMilliseconds: 1_000,
                pauseObjectiveMilliseconds: 600,
            };
            evidence.addOutcome(kind, index % 2 === 0, index * 20);
            evidence.addTime(kind, { milliseconds: 100, hasHead: true }, index * 20);
        }
        expect(evaluateRollout(evidence.getCounts(800))?.reason).toEqual("failures");
    });

    it("uses the answers of the last seconds only", () => {
        const evidence = createEvidence(3, good, { failures: 0.5, median: 100 });
        expect(evaluateRollout(evidence.getCounts(20_000))).toEqual(undefined);
    });

    // Each node alone has too little evidence of a bad version. Only the sum over nodes suffices.
    it("sums the evidence of several nodes", () => {
        const parts = [11, 12, 13, 14].map(seed =>
            createEvidence(seed, good, { failures: 0.5, median: 100 }, { count: 45 })
        );
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
