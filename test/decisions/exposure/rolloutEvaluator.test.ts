import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { RolloutFold } from "../../../src/control/index.js";
import {
    createRolloutPolicy,
    Exposures,
    type RolloutEvaluation,
    RolloutEvaluator,
    type RolloutRules,
} from "../../../src/decisions/exposure/index.js";
import { Evidence } from "../../../src/decisions/model/index.js";

const rollout = "rollout-1";
const entries = ["a", "b"];
const fencingToken = 1;
const requestClass = "allergens";

describe("RolloutJudge", () => {
    describe("judge", () => {
        it("grants a handful of callers first and splits them over the entries", () => {
            const { judge } = createFixture();
            const verdict = judge();
            expect(verdict.action === "grant" && verdict.grants).toEqual({ a: 4, b: 4 });
        });

        it("releases no more callers until the first ones are judged", () => {
            const { judge, append, expose } = createFixture();
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 4, b: 4 } });
            expose(8);
            expect(judge().action).toEqual("wait");
        });

        it("advances once the ratings suffice and finishes after the last stage", () => {
            const { judge, append, expose, answer, clock } = createFixture();
            expose(60);
            answer("label@2", 300, 0.03, 1);
            clock.advance(70_000);
            expect(judge().action).toEqual("advance");
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            clock.advance(70_000);
            expect(judge().action).toEqual("finish");
        });

        it("halts a bad candidate", () => {
            const { judge, expose, answer } = createFixture();
            expose(60);
            answer("label@2", 60, 0.4, 1);
            const verdict = judge();
            expect(verdict.action).toEqual("halt");
            expect(verdict.reason.length > 0).toEqual(true);
        });

        // The rating service fails for the candidate's answers only. Without ratings nothing speaks against it, and a
        // roll-out that went on would expose everybody to a version that nobody has judged.
        it("widens nothing while ratings of the candidate are missing", () => {
            const { judge, expose, answer, clock } = createFixture();
            expose(30);
            answer("label@2", 30, 0.03, 0);
            clock.advance(200_000);
            const verdict = judge();
            expect(verdict.action).toEqual("wait");
            expect(verdict.reason.includes("missing")).toEqual(true);
        });

        // Answers rated bad are rated less often than others, so those that are rated look nearly as good as ever. A roll-out
        // that goes by them alone widens, and callers meet bad answers that nobody has told of.
        it("lets few callers through and then halts where fewer answers are confirmed than of the baseline", () => {
            const { judge, answerByTurns, expose, clock } = createFixture();
            expose(20);
            answerByTurns(20, 0.3);
            clock.advance(200_000);
            const early = judge();
            expect(early.action === "grant" && early.grants).toEqual({ a: 22, b: 1 });
            answerByTurns(200, 0.3);
            clock.advance(200_000);
            const verdict = judge();
            expect([verdict.action, verdict.reason.includes("rated good")]).toEqual(["halt", true]);
        });

        // The rating service is away for a while. Neither version is rated then, which says nothing of the candidate.
        it("takes an outage of the rating service for what it is", () => {
            const { judge, answer, answerByTurns, expose, clock } = createFixture();
            expose(50);
            answer("label@1", 2000, 0.03, 0.5);
            answer("label@2", 100, 0.03, 0.5);
            clock.advance(100_000);
            answerByTurns(20, 0, 0);
            clock.advance(200_000);
            expect(judge().action === "halt").toEqual(false);
            expect(judge().reason === "The evidence against the candidate grows.").toEqual(false);
        });

        // An operator lifts a halt. The old evidence still stands; without a fresh start the next look would halt the
        // version again at once.
        it("starts afresh after a lift", () => {
            const { judge, append, answer, clock } = createFixture();
            answer("label@2", 60, 0.4, 1);
            append("lift", { version: "label@2", halts: [], by: "operator" }, clock.wall() + 20_000);
            clock.advance(30_000);
            expect(judge().action === "halt").toEqual(false);
        });
    });

    describe("getPolicy", () => {
        // An operator tightens or loosens the rules of a model while its roll-out is under way. A judge that had kept the
        // rules of its start would go on widening, or would halt a version that the operator wants to let through.
        it("is asked at each judgement, so that each rule holds for a roll-out under way", () => {
            const { judge, expose, answer, clock, setRules } = createFixture();
            expose(40);
            answer("label@2", 70, 0.03, 1);
            clock.advance(70_000);
            expect(judge().action).toEqual("advance");
            setRules({ missedRate: 0.0001 });
            expect(judge().action === "advance").toEqual(false);
            setRules({ stageMinimumSeconds: 100 });
            expect(judge().action === "advance").toEqual(false);
            clock.advance(40_000);
            expect(judge().action).toEqual("advance");
        });

        it("halts by the margin and the rate of false halts in force", () => {
            const { judge, answer, setRules } = createFixture();
            answer("label@2", 100, 0.15, 1);
            setRules({ falseHaltRate: 0.0001, qualityMargin: 0.02 });
            expect(judge().action === "halt").toEqual(false);
            setRules({ falseHaltRate: 0.05, qualityMargin: 0.02 });
            expect(judge().action).toEqual("halt");
            setRules({ falseHaltRate: 0.05, qualityMargin: 0.9 });
            expect(judge().action === "halt").toEqual(false);
        });
    });

    describe("judgeSettled", () => {
        it("halts a settled version that turned bad and leaves a good one alone", () => {
            const { judgeSettled, answer, clock } = createFixture();
            for (let minute = 0; minute < 40; minute += 1) {
                clock.advance(60_000);
                answer("label@1", 60, 0.03, 1);
                expect(judgeSettled("label@1").action).toEqual("wait");
            }
            clock.advance(10_000);
            answer("label@1", 100, 0.4, 1);
            expect(judgeSettled("label@1").action).toEqual("halt");
        });

        // A version turns bad soon after its roll-out. Until the evidence suffices for a halt it has harmed everybody who
        // called meanwhile, so most new callers get the version before it as soon as there is a good reason to doubt.
        it("holds a version back soon after its roll-out, and releases it when it proves good", () => {
            const { judgeSettled, isHeld, append, answer, clock } = createFixture();
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            append("rollout-finish", { rollout, fence: fencingToken });
            answer("label@2", 500, 0.03, 1);
            clock.advance(700_000);
            answer("label@2", 100, 0.03, 1);
            expect(judgeSettled("label@2").action).toEqual("wait");
            expect(isHeld("label@2")).toEqual(false);
            for (let answers = 0; !isHeld("label@2") && answers < 50; answers += 1) {
                answer("label@2", 1, 0.5, 1);
                expect(judgeSettled("label@2").action).toEqual("wait");
            }
            expect(isHeld("label@2")).toEqual(true);
            clock.advance(10_000);
            answer("label@2", 100, 0, 1);
            judgeSettled("label@2");
            expect(isHeld("label@2")).toEqual(false);
        });

        it("holds no version back long after its roll-out", () => {
            const { judgeSettled, isHeld, append, answer, clock } = createFixture();
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            append("rollout-finish", { rollout, fence: fencingToken });
            clock.advance(4_000_000);
            answer("label@2", 500, 0.03, 1);
            clock.advance(700_000);
            for (let answers = 0; judgeSettled("label@2").action !== "halt" && answers < 100; answers += 1) {
                answer("label@2", 1, 0.5, 1);
                expect(isHeld("label@2")).toEqual(false);
            }
            expect(judgeSettled("label@2").action).toEqual("halt");
        });
    });
});

function createFixture() {
    const clock = new ManualClock(1_800_000_000_000);
    const random = new RandomSource(5);
    const fold = new RolloutFold({ isCurrentFencingToken: given => given === fencingToken });
    const evidence = new Evidence({ clock });
    const exposures = new Exposures();
    const defaults: RolloutRules = {
        qualityMargin: 0.05,
        falseHaltRate: 0.01,
        missedRate: 0.01,
        stageMinimumSeconds: 60,
    };
    let rules = defaults;
    const getPolicy = (model: string) => {
        expect(model).toEqual("label");
        return createRolloutPolicy(rules);
    };
    const judge = new RolloutEvaluator({ fold, evidence, exposures, clock, getPolicy });
    let offset = 0;
    const append = (kind: string, body: unknown, time = clock.wall()) => {
        fold.apply({ offset, time, record: { id: `${offset}`, kind, format: 1, writer: "test", body } });
        offset += 1;
    };
    const answer = (version: string, count: number, bad: number, ratedShare: number) => {
        for (let index = 0; index < count; index += 1) {
            evidence.addAnswer({ version, requestClass, failed: false, slow: false });
            if (random.next() < ratedShare) {
                const score = (random.next() < bad ? 0.25 : 0.85) + 0.08 * random.nextNormal();
                evidence.addRating({ version, requestClass, score });
            }
        }
    };
    /** Answers as both versions do at the same time, where a part of the candidate's ratings stays away. */
    const answerByTurns = (count: number, lost: number, ratedShare = 0.9) => {
        answer("label@2", count, 0.01, ratedShare - lost);
        answer("label@1", 10 * count, 0.01, ratedShare);
    };
    answer("label@1", 3000, 0.03, 1);
    clock.advance(60_000);
    append("rollout-start", {
        rollout,
        model: "label",
        candidate: "label@2",
        baseline: "label@1",
        stages: [0.1, 1],
        budget: [60, 1000],
        startedBy: "operator",
    });
    return {
        clock,
        append,
        answer,
        answerByTurns,
        setRules: (changes: Partial<RolloutRules>) => {
            rules = { ...defaults, ...changes };
        },
        judge: (): RolloutEvaluation => judge.evaluate(rollout, entries, "a"),
        judgeSettled: (version: string): RolloutEvaluation => judge.evaluateStable(version),
        isHeld: (version: string): boolean => judge.isHeld(version),
        expose: (count: number) => {
            for (let index = 0; index < count; index += 1) {
                exposures.add(rollout);
            }
        },
    };
}
