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

describe("RolloutEvaluator", () => {
    describe("evaluate", () => {
        it("grants a handful of callers first and distributes them over the entries", () => {
            const { evaluate } = createFixture();
            const evaluation = evaluate();
            expect(evaluation.action === "grant" && evaluation.grants).toEqual({ a: 4, b: 4 });
        });

        it("releases no more callers until the first ones are evaluated", () => {
            const { evaluate, append, expose } = createFixture();
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 4, b: 4 } });
            expose(8);
            expect(evaluate().action).toEqual("wait");
        });

        it("advances once the ratings suffice and finishes after the last stage", () => {
            const { evaluate, append, expose, answer, clock } = createFixture();
            expose(60);
            answer("label@2", 300, 0.03, 1);
            clock.advance(70_000);
            expect(evaluate().action).toEqual("advance");
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            clock.advance(70_000);
            expect(evaluate().action).toEqual("finish");
        });

        it("halts a bad candidate", () => {
            const { evaluate, expose, answer } = createFixture();
            expose(60);
            answer("label@2", 60, 0.4, 1);
            const evaluation = evaluate();
            expect(evaluation.action).toEqual("halt");
            expect(evaluation.reason.length > 0).toEqual(true);
        });

        // Guards against exposing all callers to an unrated version. If the rating service fails for the candidate's
        // answers only, there is no evidence against it, and the roll-out would continue.
        it("does not increase the exposure while ratings of the candidate are missing", () => {
            const { evaluate, expose, answer, clock } = createFixture();
            expose(30);
            answer("label@2", 30, 0.03, 0);
            clock.advance(200_000);
            const evaluation = evaluate();
            expect(evaluation.action).toEqual("wait");
            expect(evaluation.reason.includes("missing")).toEqual(true);
        });

        // Guards against bad answers that are rated less often than others, so that the existing ratings look nearly
        // unchanged. A roll-out that relied on ratings alone would increase the exposure, and callers would get bad
        // answers that no rating reports.
        it("exposes few callers and then halts where fewer answers are confirmed than for the baseline", () => {
            const { evaluate, answerWithBoth, expose, clock } = createFixture();
            expose(20);
            answerWithBoth(20, 0.3);
            clock.advance(200_000);
            const early = evaluate();
            expect(early.action === "grant" && early.grants).toEqual({ a: 22, b: 1 });
            answerWithBoth(200, 0.3);
            clock.advance(200_000);
            const evaluation = evaluate();
            expect([evaluation.action, evaluation.reason.includes("rated good")]).toEqual(["halt", true]);
        });

        // Guards against a halt because of an outage of the rating service. Neither version is rated then, which is no
        // evidence against the candidate.
        it("does not count an outage of the rating service against the candidate", () => {
            const { evaluate, answer, answerWithBoth, expose, clock } = createFixture();
            expose(50);
            answer("label@1", 2000, 0.03, 0.5);
            answer("label@2", 100, 0.03, 0.5);
            clock.advance(100_000);
            answerWithBoth(20, 0, 0);
            clock.advance(200_000);
            expect(evaluate().action === "halt").toEqual(false);
            expect(evaluate().reason === "The evidence against the candidate grows.").toEqual(false);
        });

        // Guards against a new halt right after an operator has lifted one. The old evidence still exists: if the
        // evaluation included it, it would halt the version again at once.
        it("starts afresh after a lift", () => {
            const { evaluate, append, answer, clock } = createFixture();
            answer("label@2", 60, 0.4, 1);
            append("lift", { version: "label@2", halts: [], by: "operator" }, clock.wall() + 20_000);
            clock.advance(30_000);
            expect(evaluate().action === "halt").toEqual(false);
        });
    });

    describe("getPolicy", () => {
        // Guards against outdated rules when an operator changes those of a model during its roll-out. With the rules
        // from the start, the evaluator would continue to increase the exposure, or halt a version that the operator
        // wants to accept.
        it("is called at each evaluation, so that each rule applies to a roll-out in progress", () => {
            const { evaluate, expose, answer, clock, setRules } = createFixture();
            expose(40);
            answer("label@2", 70, 0.03, 1);
            clock.advance(70_000);
            expect(evaluate().action).toEqual("advance");
            setRules({ missedRate: 0.0001 });
            expect(evaluate().action === "advance").toEqual(false);
            setRules({ stageMinimumSeconds: 100 });
            expect(evaluate().action === "advance").toEqual(false);
            clock.advance(40_000);
            expect(evaluate().action).toEqual("advance");
        });

        it("halts by the current margin and rate of false halts", () => {
            const { evaluate, answer, setRules } = createFixture();
            answer("label@2", 100, 0.15, 1);
            setRules({ falseHaltRate: 0.0001, qualityMargin: 0.02 });
            expect(evaluate().action === "halt").toEqual(false);
            setRules({ falseHaltRate: 0.05, qualityMargin: 0.02 });
            expect(evaluate().action).toEqual("halt");
            setRules({ falseHaltRate: 0.05, qualityMargin: 0.9 });
            expect(evaluate().action === "halt").toEqual(false);
        });
    });

    describe("evaluateStable", () => {
        it("halts a stable version that became bad and does not halt a good one", () => {
            const { evaluateStable, answer, clock } = createFixture();
            for (let minute = 0; minute < 40; minute += 1) {
                clock.advance(60_000);
                answer("label@1", 60, 0.03, 1);
                expect(evaluateStable("label@1").action).toEqual("wait");
            }
            clock.advance(10_000);
            answer("label@1", 100, 0.4, 1);
            expect(evaluateStable("label@1").action).toEqual("halt");
        });

        // Guards against bad answers for all callers when a version becomes bad soon after its roll-out. Until the
        // evidence suffices for a halt, most new callers get the previous version, as soon as there is considerable
        // evidence.
        it("holds a version back soon after its roll-out, and releases it when it is good after all", () => {
            const { evaluateStable, isHeld, append, answer, clock } = createFixture();
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            append("rollout-finish", { rollout, fence: fencingToken });
            answer("label@2", 500, 0.03, 1);
            clock.advance(700_000);
            answer("label@2", 100, 0.03, 1);
            expect(evaluateStable("label@2").action).toEqual("wait");
            expect(isHeld("label@2")).toEqual(false);
            for (let answers = 0; !isHeld("label@2") && answers < 50; answers += 1) {
                answer("label@2", 1, 0.5, 1);
                expect(evaluateStable("label@2").action).toEqual("wait");
            }
            expect(isHeld("label@2")).toEqual(true);
            clock.advance(10_000);
            answer("label@2", 100, 0, 1);
            evaluateStable("label@2");
            expect(isHeld("label@2")).toEqual(false);
        });

        it("holds no version back long after its roll-out", () => {
            const { evaluateStable, isHeld, append, answer, clock } = createFixture();
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            append("rollout-finish", { rollout, fence: fencingToken });
            clock.advance(4_000_000);
            answer("label@2", 500, 0.03, 1);
            clock.advance(700_000);
            for (let answers = 0; evaluateStable("label@2").action !== "halt" && answers < 100; answers += 1) {
                answer("label@2", 1, 0.5, 1);
                expect(isHeld("label@2")).toEqual(false);
            }
            expect(evaluateStable("label@2").action).toEqual("halt");
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
    const evaluator = new RolloutEvaluator({ fold, evidence, exposures, clock, getPolicy });
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
    /** Adds answers of both versions at the same time. A part of the candidate's ratings is missing. */
    const answerWithBoth = (count: number, missingShare: number, ratedShare = 0.9) => {
        answer("label@2", count, 0.01, ratedShare - missingShare);
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
        answerWithBoth,
        setRules: (changes: Partial<RolloutRules>) => {
            rules = { ...defaults, ...changes };
        },
        evaluate: (): RolloutEvaluation => evaluator.evaluate(rollout, entries, "a"),
        evaluateStable: (version: string): RolloutEvaluation => evaluator.evaluateStable(version),
        isHeld: (version: string): boolean => evaluator.isHeld(version),
        expose: (count: number) => {
            for (let index = 0; index < count; index += 1) {
                exposures.add(rollout);
            }
        },
    };
}
