import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";

import { UpstreamRegistry } from "../../src/fleet/index.js";
import { type RolloutProgress, Rollouts } from "../../src/rollouts/index.js";
import { encodeReport } from "../../src/rollouts/rolloutEvidence.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream } from "../fixtures/upstreams.js";

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
const none = { answers: 0, failures: 0, timed: 0, logSum: 0, logSquares: 0 };

interface RolloutNode {
    readonly rollouts: Rollouts;
    readonly registry: UpstreamRegistry;
    readonly written: RolloutProgress[];
    readonly counts: { evidenceReads: number; published: number; };
    /** Lets time pass, tick by tick. */
    readonly run: (ticks: number) => void;
}

/** A node of a rank, before the reports of others. Its wall clock may be ahead of the others'. */
function createNode(rank: number, peers: readonly Buffer[], clockAheadMilliseconds = 0): RolloutNode {
    const clock = new ManualClock();
    const registry = new UpstreamRegistry(clock);
    const written: RolloutProgress[] = [];
    const counts = { evidenceReads: 0, published: 0 };
    const rollouts = new Rollouts({
        self: "self",
        clock: { monotonic: () => clock.monotonic(), wall: () => clock.wall() + clockAheadMilliseconds },
        journal: createJournal().journal,
        registry,
        exposureShare: 0.1,
        sessionMilliseconds: 5_000,
        getRank: () => rank,
        getMemberCount: () => peers.length + 1,
        publishEvidence: () => counts.published += 1,
        getEvidence: () => {
            counts.evidenceReads += 1;
            return peers.map((value, index) => ({ origin: `n-${index}`, value }));
        },
        publishHalt: () => undefined,
        writeProgress: async (...[, progress]) => {
            written.push(progress);
        },
        writePins: async () => true,
    });
    rollouts.setOrder(order);
    const run = (ticks: number): void => {
        for (let tick = 0; tick < ticks; tick += 1) {
            clock.advance(tickMilliseconds);
            rollouts.tick();
        }
    };
    return { rollouts, registry, written, counts, run };
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
    // Every node of a large fleet gathers what all others report. Done at each tick by each of them, the work grows with the
    // square of the fleet, and callers wait behind it.
    it("looks at the others' reports at each tick only where it is among the first by rank", () => {
        const peers = Array.from({ length: 194 }, () => createBadReport());
        const first = createNode(0, peers);
        const late = createNode(100, peers);
        first.run(50);
        late.run(50);
        expect(first.counts.evidenceReads).toEqual(50);
        expect(late.counts.evidenceReads).toEqual(10);
    });

    it("finds a bad version by what others saw, on a node far back in rank within a second", () => {
        const site = createNode(100, [createBadReport()]);
        site.run(5);
        expect(site.rollouts.select("pool", "session", []).upstreams).toEqual([]);
        site.run(1_000);
        expect(site.written[0]?.state).toEqual("reverted");
    });

    // A caller was answered by two versions, and the nodes' lines did not say what each of them knew of its session.
    it("says why a request gets its version, while a roll-out is under way", () => {
        const site = createNode(0, []);
        const upstream = createUpstream("u1", { pool: "pool" });
        site.rollouts.startRequest(upstream, "session");
        expect(site.rollouts.select("pool", "session", [upstream]).reason?.startsWith("current: share 0")).toEqual(
            true,
        );
        expect(site.rollouts.select("other", "session", [upstream]).reason).toEqual(undefined);
    });

    // A VM's time of day jumps. Its node took the difference for time that had passed since the order, and moved sessions before
    // half of the time was over.
    it("takes no step too soon when its wall clock is ahead of that of the node which began", () => {
        const site = createNode(0, [], 10_000);
        site.registry.set(createUpstream("u1", { pool: "pool", version: "v2" }));
        site.rollouts.setProgress("pool", { ...announced, orderedAt: 0 });
        site.run(55);
        expect(site.written.filter(({ share }) => share > announced.firstShare)).toEqual([]);
    });

    it("knows by the wall clock how much time is left when it was started after the order", () => {
        const site = createNode(0, [], 20_000);
        site.registry.set(createUpstream("u1", { pool: "pool", version: "v2" }));
        site.rollouts.setProgress("pool", { ...announced, step: 2, share: announced.firstShare, orderedAt: 0 });
        site.run(1);
        expect(site.written[0]?.share).toEqual(1);
    });

    // News of an earlier step comes once more, after the later one. Sessions that have moved would go back to the old version.
    it("does not go back to an earlier step that it hears of again", () => {
        const site = createNode(1, []);
        const upstreams = ["v1", "v2"].map(version => createUpstream(version, { pool: "pool", version }));
        const select = (): string => site.rollouts.select("pool", "session", upstreams).upstreams[0].version;
        site.rollouts.setProgress("pool", { ...announced, step: 4, share: 1 });
        site.rollouts.setProgress("pool", { ...announced, step: 3, share: 0 });
        expect(select()).toEqual("v2");
    });

    it("publishes nothing that is known already", () => {
        const site = createNode(100, []);
        site.run(50);
        expect(site.counts.published).toEqual(1);
    });

    it("takes the first step at once where it is the first by rank", () => {
        const site = createNode(0, []);
        site.run(2);
        expect(site.written[0]?.state).toEqual("moving");
    });
});
