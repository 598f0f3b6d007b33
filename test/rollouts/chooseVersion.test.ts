import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { chooseVersion } from "../../src/rollouts/chooseVersion.js";
import type { RolloutOrder, RolloutProgress } from "../../src/rollouts/index.js";

const order: RolloutOrder = { id: 5, pool: "app", version: "v2", durationMilliseconds: 20_000 };

function createProgress(share: number, state: RolloutProgress["state"] = "moving"): RolloutProgress {
    return { order: order.id, version: order.version, state, step: 1, share, firstShare: 0.1, orderedAt: 0 };
}

function choose(options: Partial<Parameters<typeof chooseVersion>[0]> = {}) {
    return chooseVersion({
        order,
        progress: createProgress(0.1),
        isHalted: false,
        sessionRank: 0.05,
        isPinned: false,
        ...options,
    });
}

describe("chooseVersion", () => {
    it("chooses the new version for the share of new sessions", () => {
        expect([choose(), choose({ sessionRank: 0.2 })]).toEqual(["candidate", "current"]);
    });

    // Guards against answers by two versions within a session: a conversation continues while its pool is being moved,
    // and successive answers by different versions contradict each other.
    it("keeps a session that started on the old version there in the first step", () => {
        expect(choose({ isPinned: true })).toEqual("current");
        expect(choose({ isPinned: true, progress: createProgress(0.35) })).toEqual("candidate");
    });

    it("moves no session while the first step is only announced", () => {
        expect(choose({ progress: createProgress(0), sessionRank: 0 })).toEqual("current");
    });

    it("does not choose a version that is halted at this node, not started or reverted", () => {
        expect(choose({ isHalted: true })).toEqual("current");
        expect(choose({ progress: undefined })).toEqual("current");
        expect(choose({ progress: createProgress(0, "reverted") })).toEqual("current");
    });

    it("never moves a session back while the share grows", () => {
        const shares = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { minLength: 1, maxLength: 8 });
        const ranks = fc.double({ min: 0, max: 0.999, noNaN: true });
        fc.assert(fc.property(shares, ranks, fc.boolean(), (steps, sessionRank, isPinned) => {
            let last: string | undefined;
            for (const share of steps.sort((first, second) => first - second)) {
                const choice = choose({ progress: createProgress(share), sessionRank, isPinned });
                expect(last === "v2" && choice === "current").toEqual(false);
                last = choice === "candidate" ? "v2" : "v1";
            }
        }));
    });
});
