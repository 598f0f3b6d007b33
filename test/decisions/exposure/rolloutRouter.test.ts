import { expect } from "earl";
import { describe, it } from "node:test";
import { RolloutFold } from "../../../src/control/index.js";
import { createCallerHash, Exposures, RolloutRouter } from "../../../src/decisions/exposure/index.js";

const rollout = "rollout-1";
const fencingToken = 1;
const entries = ["a", "b", "c"];

describe("RolloutRouter", () => {
    describe("pick", () => {
        it("exposes no caller before the first grant", async () => {
            const { pickMany } = await createFixture();
            expect(pickMany("a", 2000)).toEqual(0);
        });

        // Guards against exceeding the budget. Entries receive the counts of each other's callers with a delay. If each
        // of them used up the remaining budget by its own estimate, eight entries together would expose several times
        // the budget to a version that may be bad.
        it("keeps the callers of all entries within the budget without an exchange of counts", async () => {
            const { append, pickMany } = await createFixture();
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 10, b: 10, c: 10 } });
            let exposed = 0;
            for (const entry of entries) {
                exposed += pickMany(entry, 2000);
            }
            expect(exposed).toEqual(30);
        });

        it("keeps an exposed caller exposed as stages advance", async () => {
            const { append, routers } = await createFixture();
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 30 } });
            const router = routers.get("a")!;
            const callers = Array.from({ length: 300 }, (...[, index]) => `caller-${index}`);
            const early = callers.filter(caller => router.pick({ rollout, caller }) === "label@2");
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 100 } });
            expect(early.length).toEqual(30);
            expect(early.every(caller => router.pick({ rollout, caller }) === "label@2")).toEqual(true);
        });

        it("exposes no caller to a halted candidate and falls back from a halted baseline", async () => {
            const { fold, append, pickMany, routers } = await createFixture();
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 30 } });
            fold.addHalt({ id: "h1", version: "label@2", reason: "bad", at: 1 });
            expect(pickMany("a", 500)).toEqual(0);
            fold.addHalt({ id: "h2", version: "label@1", reason: "bad", at: 1 });
            expect(routers.get("a")!.pick({ rollout, caller: "x" })).toEqual(undefined);
        });
    });

    // Guards against both extremes when a version looks bad soon after its roll-out. If all callers still got it until
    // the evidence suffices for a halt, many more would get bad answers. If none got it, the evidence would never
    // suffice.
    describe("isHeld", () => {
        it("sends few callers, always the same, to a finished candidate that is held back", async () => {
            const { append, pickMany, held } = await createFixture();
            append("rollout-advance", { rollout, stage: 1, fence: fencingToken });
            append("rollout-finish", { rollout, fence: fencingToken });
            expect(pickMany("a", 1000)).toEqual(1000);
            held.add(rollout);
            const exposed = pickMany("a", 1000);
            expect(exposed > 50 && exposed < 150).toEqual(true);
            expect(pickMany("a", 1000)).toEqual(exposed);
        });
    });

    describe("pickForModel", () => {
        it("serves two roll-outs of one model at once, each caller by at most one", async () => {
            const { fold, append, routers } = await createFixture();
            const second = "rollout-2";
            append("rollout-start", createStart(second, "label@3"));
            append("rollout-grant", { rollout, fence: fencingToken, grants: { a: 20 } });
            append("rollout-grant", { rollout: second, fence: fencingToken, grants: { a: 20 } });
            const router = routers.get("a")!;
            const picked = new Map<string, number>();
            for (let index = 0; index < 500; index += 1) {
                const version = router.pickForModel({ model: "label", caller: `caller-${index}` })!;
                picked.set(version, (picked.get(version) ?? 0) + 1);
            }
            expect(picked.get("label@2")).toEqual(20);
            expect(picked.get("label@3")).toEqual(20);
            fold.addHalt({ id: "h1", version: "label@3", reason: "bad", at: 1 });
            expect(router.pickForModel({ model: "label", caller: "caller-new" })).toEqual("label@1");
        });
    });
});

function createStart(id: string, candidate: string) {
    const stages = [0.5, 1];
    return { rollout: id, model: "label", candidate, baseline: "label@1", stages, budget: [30, 100], startedBy: "x" };
}

async function createFixture() {
    const fold = new RolloutFold({ isCurrentFencingToken: given => given === fencingToken });
    const hash = await createCallerHash();
    const held = new Set<string>();
    const isHeld = ({ id }: { readonly id: string; }): boolean => held.has(id);
    const routers = new Map(
        entries.map(entry =>
            [entry, new RolloutRouter({ entry, fold, exposures: new Exposures(), hash, isHeld })] as const
        ),
    );
    let offset = 0;
    const append = (kind: string, body: unknown) => {
        fold.apply({ offset, time: 1000, record: { id: `${offset}`, kind, format: 1, writer: "test", body } });
        offset += 1;
    };
    append("rollout-start", createStart(rollout, "label@2"));
    return {
        fold,
        append,
        held,
        routers,
        /** Returns how many of `count` new callers at an entry are exposed. */
        pickMany: (entry: string, count: number) => {
            let exposed = 0;
            for (let index = 0; index < count; index += 1) {
                const version = routers.get(entry)!.pick({ rollout, caller: `${entry}-${index}` });
                exposed += version === "label@2" ? 1 : 0;
            }
            return exposed;
        },
    };
}
