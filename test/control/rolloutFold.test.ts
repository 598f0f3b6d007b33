import { expect } from "earl";
import { describe, it } from "node:test";
import { RolloutFold, type RolloutSnapshot } from "../../src/control/index.js";

const rollout = "rollout-1";
const fence = 7;

describe("RolloutFold", () => {
    describe("apply", () => {
        it("starts, grants, advances and finishes", () => {
            const { fold, append, start } = createFixture();
            expect(start()?.accepted).toEqual(true);
            expect(fold.getShare(rollout)).toEqual(0.1);
            expect(append("rollout-grant", { rollout, fence, grants: { a: 3, b: 2 } })?.accepted).toEqual(true);
            expect(append("rollout-advance", { rollout, stage: 1, fence })?.accepted).toEqual(true);
            expect(fold.getShare(rollout)).toEqual(1);
            expect(append("rollout-finish", { rollout, fence })?.accepted).toEqual(true);
            expect(fold.getStableVersion("label")).toEqual("label@2");
        });

        // The holder of the lease is paused, another node takes over and advances the roll-out, and then the first one
        // appends what it had decided before. Callers would be exposed a stage too far.
        it("rejects a step with an old fencing token and a repeated step", () => {
            const { fold, append, start } = createFixture();
            start();
            expect(append("rollout-advance", { rollout, stage: 1, fence: fence - 1 })?.accepted).toEqual(false);
            expect(append("rollout-grant", { rollout, fence: fence - 1, grants: { a: 1 } })?.accepted).toEqual(false);
            expect(fold.getRollout(rollout)?.stage).toEqual(0);
            append("rollout-advance", { rollout, stage: 1, fence });
            expect(append("rollout-advance", { rollout, stage: 1, fence })?.accepted).toEqual(false);
        });

        it("rejects grants beyond the budget of the stage", () => {
            const { append, start } = createFixture();
            start();
            expect(append("rollout-grant", { rollout, fence, grants: { a: 9, b: 2 } })?.accepted).toEqual(false);
        });

        it("ignores entries that it has applied already", () => {
            const { fold, start } = createFixture();
            start();
            const entry = { offset: 0, time: 5, record: createRecord("rollout-abort", { rollout, by: "operator" }) };
            expect(fold.apply(entry)).toEqual(undefined);
            expect(fold.getRollout(rollout)?.state).toEqual("active");
        });

        it("rejects malformed bodies", () => {
            const { append } = createFixture();
            for (
                const kind of ["rollout-start", "rollout-grant", "rollout-advance", "rollout-finish", "halt", "lift"]
            ) {
                expect(append(kind, { stages: "all" })?.accepted).toEqual(false);
            }
        });
    });

    describe("addHalt", () => {
        // The log is unavailable when a version becomes bad. If a halt had to wait for the log, callers would get bad
        // answers until the log is available again.
        it("takes effect at once, and only a lift that lists the halt ends it", () => {
            const { fold, append, start } = createFixture();
            start();
            expect(fold.addHalt({ id: "h1", version: "label@2", reason: "bad", at: 1 })).toEqual(true);
            expect(fold.getShare(rollout)).toEqual(0);
            append("lift", { version: "label@2", halts: ["another"], by: "operator" });
            expect(fold.isHalted("label@2")).toEqual(true);
            append("lift", { version: "label@2", halts: ["h1"], by: "operator" });
            expect(fold.isHalted("label@2")).toEqual(false);
            expect(fold.addHalt({ id: "h1", version: "label@2", reason: "bad", at: 1 })).toEqual(false);
            expect(fold.isHalted("label@2")).toEqual(false);
        });

        it("does not affect decisions that depend on the log alone", () => {
            const { fold, append, start } = createFixture();
            start();
            fold.addHalt({ id: "h1", version: "label@2", reason: "bad", at: 1 });
            expect(append("rollout-advance", { rollout, stage: 1, fence })?.accepted).toEqual(true);
            append("halt", { id: "h1", version: "label@2", reason: "bad" });
            expect(fold.getRollout(rollout)?.state).toEqual("halted");
            expect(append("rollout-finish", { rollout, fence })?.accepted).toEqual(false);
        });
    });

    describe("getFallback", () => {
        it("returns the newest earlier stable version that is not halted and is allowed", () => {
            const { fold, append, start } = createFixture();
            start();
            append("rollout-advance", { rollout, stage: 1, fence });
            append("rollout-finish", { rollout, fence });
            start({ rollout: "rollout-2", candidate: "label@3", baseline: "label@2" });
            append("rollout-advance", { rollout: "rollout-2", stage: 1, fence });
            append("rollout-finish", { rollout: "rollout-2", fence });
            fold.addHalt({ id: "h1", version: "label@3", reason: "bad", at: 1 });
            expect(fold.getFallback("label@3")).toEqual("label@2");
            expect(fold.getFallback("label@3", version => version !== "label@2")).toEqual("label@1");
            fold.addHalt({ id: "h2", version: "label@2", reason: "bad", at: 1 });
            expect(fold.getFallback("label@3")).toEqual("label@1");
            expect(fold.getStableVersion("label")).toEqual("label@1");
        });
    });

    describe("importState", () => {
        // A VM that led a roll-out is replaced halfway. Its successor starts from a snapshot and must neither restart
        // the roll-out nor return to an earlier state.
        it("continues an interrupted roll-out and never returns to an earlier state", () => {
            const { fold, append, start } = createFixture();
            start();
            append("rollout-grant", { rollout, fence, grants: { a: 4 } });
            const early = roundTripJson(fold.exportState());
            append("rollout-advance", { rollout, stage: 1, fence });
            append("halt", { version: "other@1", reason: "bad" });
            const successor = new RolloutFold({ isCurrentFencingToken: given => given === fence });
            expect(successor.importState(roundTripJson(fold.exportState()))).toEqual(true);
            expect(successor.getRollout(rollout)).toEqual(fold.getRollout(rollout));
            expect(successor.isHalted("other@1")).toEqual(true);
            expect(successor.importState(early)).toEqual(false);
            expect(successor.getRollout(rollout)?.stage).toEqual(1);
        });
    });
});

function createFixture() {
    const fold = new RolloutFold({ isCurrentFencingToken: given => given === fence });
    let offset = 0;
    const append = (kind: string, body: unknown) => {
        const decision = fold.apply({ offset, time: 1000 + offset, record: createRecord(kind, body) });
        offset += 1;
        return decision;
    };
    const body = {
        rollout,
        model: "label",
        candidate: "label@2",
        baseline: "label@1",
        stages: [0.1, 1],
        budget: [10, 1000],
        startedBy: "operator",
    };
    return { fold, append, start: (changes: object = {}) => append("rollout-start", { ...body, ...changes }) };
}

function createRecord(kind: string, body: unknown) {
    return { id: kind, kind, format: 1, writer: "test", body };
}

function roundTripJson(snapshot: RolloutSnapshot): RolloutSnapshot {
    return JSON.parse(JSON.stringify(snapshot));
}
