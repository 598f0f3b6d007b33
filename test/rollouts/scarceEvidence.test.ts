import { expect } from "earl";
import { describe, it } from "node:test";
import { assessEvidence, evaluateRollout } from "../../src/rollouts/evaluateRollout.js";
import { PeerReports } from "../../src/rollouts/peerReports.js";
import { RolloutEvidence } from "../../src/rollouts/rolloutEvidence.js";
import { countAbove } from "../../src/rollouts/timeCounts.js";
import { TimeReferences } from "../../src/rollouts/timeReferences.js";

const kind = { objectiveMilliseconds: 1_000, pauseObjectiveMilliseconds: 600 };

describe("the evidence on a version", () => {
    // Guards against taking a slow version for sound at a pool of which no kind of request has 20 answers in six seconds.
    it("is not sound while nothing is known of the usual times", () => {
        const evidence = new RolloutEvidence();
        const references = new TimeReferences();
        for (let second = 0; second < 20; second += 1) {
            for (const segment of ["a", "b", "c", "d"]) {
                for (const offset of [0, 300, 600]) {
                    const now = second * 1_000 + offset;
                    for (const [isCandidate, milliseconds] of [[false, 200], [true, 1_600]] as const) {
                        const attempt = { ...kind, segment, isCandidate };
                        evidence.addOutcome(attempt, false, now);
                        evidence.addTime(attempt, { milliseconds, hasHead: true }, now);
                    }
                }
            }
            references.update(evidence.getCounts(second * 1_000 + 900), second * 1_000 + 900);
        }
        const counts = evidence.getCounts(19_900);
        expect(evaluateRollout(counts, references)?.reason).toEqual("slow");
        expect(assessEvidence(counts, references) === "sound").toEqual(false);
    });

    // Guards against keeping a slow version of a pool whose requests are so rare that six seconds tell nothing.
    it("is compared with the times since the order where requests are rare", () => {
        const evidence = new RolloutEvidence();
        const references = new TimeReferences();
        const isSlow = [false, true].map(isLate => {
            const start = isLate ? 30_000 : 0;
            for (let now = start; now < start + 30_000; now += 1_000) {
                for (const segment of ["a", "b", "c", "d"]) {
                    const attempt = { ...kind, segment, isCandidate: isLate };
                    evidence.addTime(attempt, { milliseconds: isLate ? 1_600 : 200, hasHead: true }, now);
                }
                references.update(evidence.getCounts(now + 500), now + 500);
            }
            return evaluateRollout(evidence.getCounts(start + 29_500), references)?.reason;
        });
        expect(isSlow).toEqual([undefined, "slow"]);
    });

    // Guards against summing the same answers again at each look.
    it("adds an answer once to the times since the order", () => {
        const evidence = new RolloutEvidence();
        const references = new TimeReferences();
        for (let now = 0; now < 18_000; now += 100) {
            if (now % 3_000 === 0) {
                const attempt = { ...kind, segment: "a", isCandidate: false };
                evidence.addTime(attempt, { milliseconds: 200, hasHead: true }, now);
            }
            references.update(evidence.getCounts(now), now);
        }
        const count = countAbove(references.get("times", "a") ?? [], -1);
        expect([count >= 4, count <= 6]).toEqual([true, true]);
    });

    // Guards against completing a roll-out while nodes of the release before have requests at the old version.
    it("knows the requests in flight of nodes of the release before", () => {
        const lanes = [["route", [10, 0, 10, 40.5, 170.2], [0, 0, 0, 0, 0]]];
        const value = Buffer.from(JSON.stringify({ order: 7, inFlight: 5, lanes }));
        const own = { order: 7, currentInFlight: 0, segments: new Map() };
        expect(new PeerReports().getTotal(own, [{ origin: "n-1", value }], 0).currentInFlight).toEqual(5);
    });
});
