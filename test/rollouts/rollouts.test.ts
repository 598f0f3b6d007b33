import { expect } from "earl";
import { describe, it } from "node:test";
import { createPosition, ManualClock } from "../../src/common/index.js";
import type { UpstreamRegistry } from "../../src/fleet/index.js";
import { type RolloutProgress, Rollouts } from "../../src/rollouts/index.js";
import { encodeReport } from "../../src/rollouts/rolloutEvidence.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream, createUpstreamRegistry } from "../fixtures/upstreams.js";

const tickMilliseconds = 200;
const order = { id: 7, pool: "pool", version: "v2", durationMilliseconds: 24_000 };
const announced: RolloutProgress = {
    order: order.id,
    version: order.version,
    state: "moving",
    step: 1,
    share: 0,
    firstShare: 0.045,
    orderedAt: 0,
};
const none = { answers: 0, failures: 0, times: [], waits: [], pauses: [], pauseWaits: [] };

interface RolloutNode {
    readonly rollouts: Rollouts;
    readonly registry: UpstreamRegistry;
    readonly written: RolloutProgress[];
    /** Whether the store holds the progress that was read. */
    readonly store: { isHeld: boolean; };
    readonly counts: { evidenceReads: number; published: number; };
    /** Advances the time tick by tick. */
    readonly run: (ticks: number) => void;
}

/** Creates a node of a rank with the reports of its peers. Its wall clock may be ahead of the others'. */
function createNode(
    rank: number,
    peers: readonly Buffer[],
    { clockAheadMilliseconds = 0, reportIntervalMilliseconds = 0 } = {},
): RolloutNode {
    const clock = new ManualClock();
    const registry = createUpstreamRegistry(clock);
    const written: RolloutProgress[] = [];
    const store = { isHeld: true };
    const counts = { evidenceReads: 0, published: 0 };
    const rollouts = new Rollouts({
        self: "self",
        clock: { monotonic: () => clock.monotonic(), wall: () => clock.wall() + clockAheadMilliseconds },
        journal: createJournal().journal,
        registry,
        exposureShare: 0.1,
        sessionMilliseconds: 5_000,
        getRank: () => rank,
        publishEvidence: () => counts.published += 1,
        getReportInterval: () => reportIntervalMilliseconds,
        getEvidence: () => {
            counts.evidenceReads += 1;
            return peers.map((value, index) => ({ origin: `n-${index}`, value }));
        },
        publishHalt: () => undefined,
        writeProgress: async (...[, progress]) => {
            written.push(progress);
        },
        isRunning: async () => true,
        isStored: () => store.isHeld,
        writePins: async () => true,
    });
    rollouts.setOrder(order);
    const run = (ticks: number): void => {
        for (let tick = 0; tick < ticks; tick += 1) {
            clock.advance(tickMilliseconds);
            rollouts.tick();
        }
    };
    return { rollouts, registry, written, counts, store, run };
}

function createBadReport(): Buffer {
    const candidate = { ...none, answers: 10, failures: 8 };
    return encodeReport({
        order: order.id,
        currentInFlight: 0,
        segments: new Map([["route", { current: none, candidate }]]),
    });
}

describe("Rollouts", () => {
    // Each node of a large fleet reads the reports of all others. If every node did so at each tick, the work would
    // grow with the square of the number of nodes, and callers would wait behind it.
    it("reads the others' reports at each tick only if it is among the first by rank", () => {
        const peers = Array.from({ length: 194 }, () => createBadReport());
        const first = createNode(0, peers);
        const late = createNode(100, peers);
        first.run(50);
        late.run(50);
        expect(first.counts.evidenceReads).toEqual(50);
        expect(late.counts.evidenceReads).toEqual(10);
    });

    // Guards against a leading node that spends its time on the reports of hundreds of nodes.
    it("publishes no more often than the site bears", () => {
        const node = createNode(100, [], { reportIntervalMilliseconds: 2_000 });
        const upstream = createUpstream("u1", { pool: "pool" });
        for (let tick = 0; tick < 50; tick += 1) {
            node.rollouts.startRequest(upstream, undefined);
            node.run(1);
        }
        expect(node.counts.published).toEqual(5);
    });

    it("finds a bad version by the reports of others within a second, also on a node of a high rank", () => {
        const node = createNode(100, [createBadReport()]);
        node.run(5);
        expect(node.rollouts.select("pool", "session", []).upstreams).toEqual([]);
        node.run(1_000);
        expect(node.written[0]?.state).toEqual("reverted");
    });

    // Guards against requests for a bad version at a node that reads the order only after the others have halted it.
    it("halts an order that it receives after the halt", () => {
        const node = createNode(100, []);
        node.rollouts.setHalted("pool", order.id + 1);
        node.rollouts.setHalted("pool", order.id);
        const next = { ...order, id: order.id + 1, version: "v3" };
        node.rollouts.setOrder(next);
        node.rollouts.setProgress("pool", {
            order: next.id,
            version: next.version,
            state: "moving",
            step: 2,
            share: 1,
            firstShare: 0.05,
            orderedAt: 0,
        });
        const upstreams = ["v1", "v3"].map(version => createUpstream(version, { pool: "pool", version }));
        expect(node.rollouts.select("pool", "session", upstreams).upstreams.map(({ id }) => id)).toEqual(["v1"]);
    });

    // A caller was answered by two versions, and the nodes' log lines did not contain the reason for each choice.
    it("returns the reason for a request's version while a roll-out is in progress", () => {
        const node = createNode(0, []);
        const upstream = createUpstream("u1", { pool: "pool" });
        node.rollouts.startRequest(upstream, "session");
        expect(node.rollouts.select("pool", "session", [upstream]).reason?.startsWith("current: share 0")).toEqual(
            true,
        );
        expect(node.rollouts.select("other", "session", [upstream]).reason).toEqual(undefined);
    });

    // The wall clock of a VM jumps. If its node took the difference for time elapsed since the order, it would move
    // sessions before half of the time is over.
    it("takes no step too early when its wall clock is ahead of that of the node that took the first step", () => {
        const node = createNode(0, [], { clockAheadMilliseconds: 10_000 });
        node.registry.set(createUpstream("u1", { pool: "pool", version: "v2" }));
        node.rollouts.setProgress("pool", { ...announced, orderedAt: 0 });
        node.run(55);
        expect(node.written.filter(({ share }) => share > announced.firstShare)).toEqual([]);
    });

    it("computes the remaining time from the wall clock when it was started after the order", () => {
        const node = createNode(0, [], { clockAheadMilliseconds: 20_000 });
        node.registry.set(createUpstream("u1", { pool: "pool", version: "v2" }));
        node.rollouts.setProgress("pool", { ...announced, step: 2, share: announced.firstShare, orderedAt: 0 });
        node.run(1);
        expect(node.written[0]?.share).toEqual(1);
    });

    // The record of an earlier step is received again after that of a later one. Sessions that have moved would go back
    // to the old version.
    it("does not go back to an earlier step that it receives again", () => {
        const node = createNode(1, []);
        const upstreams = ["v1", "v2"].map(version => createUpstream(version, { pool: "pool", version }));
        const select = (): string => node.rollouts.select("pool", "session", upstreams).upstreams[0].version;
        node.rollouts.setProgress("pool", { ...announced, step: 4, share: 1 });
        node.rollouts.setProgress("pool", { ...announced, step: 3, share: 0 });
        expect(select()).toEqual("v2");
    });

    it("does not publish unchanged evidence again", () => {
        const node = createNode(100, []);
        node.run(50);
        expect(node.counts.published).toEqual(1);
    });

    it("takes the first step at once if it is the first by rank", () => {
        const node = createNode(0, []);
        node.run(2);
        expect(node.written[0]?.state).toEqual("moving");
    });

    describe("after the store came back from an older copy", () => {
        const later = { ...order, id: createPosition({ era: 1, offset: 3 }) };
        const completed: RolloutProgress = { ...announced, state: "completed", step: 6, share: 1 };

        // Guards against an operator who never learns that a roll-out has ended, and against steps that nobody can take any more.
        it("write a progress again that the store has lost, moving or ended, the first node by rank at once", () => {
            for (const progress of [announced, completed]) {
                const first = createNode(0, []);
                const last = createNode(5, []);
                for (const { rollouts, store, run } of [first, last]) {
                    rollouts.setProgress(order.pool, progress);
                    run(1);
                    store.isHeld = false;
                    run(1);
                }
                expect([first.written, last.written]).toEqual([[progress], []]);
                last.store.isHeld = true;
                last.run(100);
                expect(last.written).toEqual([]);
            }
        });

        // Guards against a node that starts anew after the return, takes the order for another one, and moves sessions back.
        it("go on with the progress of before, also at a node that knows only the position of the order since", () => {
            const { rollouts, registry, written, run } = createNode(0, []);
            registry.set(createUpstream("old", { pool: order.pool, version: "v1" }));
            registry.set(createUpstream("new", { pool: order.pool, version: "v2" }));
            rollouts.setOrder(later);
            rollouts.setProgress(order.pool, completed);
            const { upstreams } = rollouts.select(order.pool, "session", registry.getAvailable(order.pool));
            run(20);
            expect([upstreams.map(({ id }) => id), written]).toEqual([["new"], []]);
        });

        it("do not take the end of an earlier order in the same era for theirs", () => {
            const { rollouts, registry, written, run } = createNode(0, []);
            registry.set(createUpstream("new", { pool: order.pool, version: "v2" }));
            rollouts.setOrder({ ...order, id: order.id + 5 });
            rollouts.setProgress(order.pool, completed);
            run(20);
            expect(written[0]?.order).toEqual(order.id + 5);
        });
    });
});
