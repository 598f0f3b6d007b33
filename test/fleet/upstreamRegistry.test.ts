import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { Announcements, UpstreamRegistry } from "../../src/fleet/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream } from "../fixtures/upstreams.js";

function createRegistry() {
    const clock = new ManualClock(1_000);
    const announcements = new Announcements({ clock, journal: createJournal().journal });
    const registry = new UpstreamRegistry(clock, announcements);
    const removed: string[] = [];
    registry.onRemoved(upstream => removed.push(upstream.id));
    const getAvailable = (): string[] => registry.getAvailable("app").map(upstream => upstream.id);
    return { clock, announcements, registry, removed, getAvailable };
}

describe("UpstreamRegistry", () => {
    describe("set", () => {
        it("returns upstreams that are ready and omits those that are leaving", () => {
            const { registry, getAvailable } = createRegistry();
            registry.set(createUpstream("a"));
            registry.set(createUpstream("b"));
            registry.set(createUpstream("b", { isLeaving: true }));
            expect(getAvailable()).toEqual(["a"]);
        });

        // A runner crashes and restarts under the same identifier. Its cache and its load are lost, so the state collected for it
        // is wrong: requests would queue at a runner that seems to have their prompt cached.
        it("notifies listeners when an upstream was restarted", () => {
            const { registry, removed } = createRegistry();
            registry.set(createUpstream("a", { startedAt: 1 }));
            registry.set(createUpstream("a", { startedAt: 1, isLeaving: true }));
            expect(removed).toEqual([]);
            registry.set(createUpstream("a", { startedAt: 2 }));
            expect(removed).toEqual(["a"]);
        });
    });

    describe("isReplaced", () => {
        // Guards against the end of a run that passes for the orderly end of its answer since the upstream is back already.
        it("knows upstreams that have started anew, under their own identifier or another one at their address", () => {
            const { registry } = createRegistry();
            const first = createUpstream("a", { startedAt: 1, address: "10.0.0.1:80" });
            registry.set(first);
            registry.set(createUpstream("b", { address: "10.0.0.2:80" }));
            expect(registry.isReplaced(first)).toEqual(false);
            registry.set({ ...first, isLeaving: true });
            expect(registry.isReplaced(first)).toEqual(false);
            registry.set(createUpstream("c", { address: "10.0.0.1:80" }));
            expect(registry.isReplaced(first)).toEqual(true);
            registry.remove("c", 0);
            registry.set({ ...first, startedAt: 2 });
            expect(registry.isReplaced(first)).toEqual(true);
        });

        // Guards against a sound answer that is cut since its upstream leaves, whose record is removed while it still serves.
        it("does not take an upstream for another one whose record was removed", () => {
            const { registry } = createRegistry();
            const first = createUpstream("a", { startedAt: 1 });
            registry.set(first);
            registry.remove("a", 0);
            expect(registry.isReplaced(first)).toEqual(false);
        });
    });

    describe("remove", () => {
        it("removes an upstream at once without a grace period", () => {
            const { registry, removed, getAvailable } = createRegistry();
            registry.set(createUpstream("a"));
            registry.remove("a", 0);
            expect([getAvailable(), removed]).toEqual([[], ["a"]]);
        });

        // The store was unavailable for longer than records live. All records expired although every upstream works. Without the
        // grace period the pools would be empty, and every caller would be refused until the upstreams have registered again.
        it("keeps an upstream whose record may have expired until it had time to register again", () => {
            const { clock, registry, getAvailable } = createRegistry();
            registry.set(createUpstream("a"));
            registry.set(createUpstream("b"));
            registry.remove("a", 2_000);
            registry.remove("b", 2_000);
            clock.advance(1_500);
            registry.set(createUpstream("b"));
            expect(getAvailable()).toEqual(["a", "b"]);
            clock.advance(600);
            expect(getAvailable()).toEqual(["b"]);
        });
    });

    // Guards against a pool that one caller with a refused model empties for good.
    it("treats an upstream that a call found replaced as leaving until its next record only", () => {
        const { registry, getAvailable } = createRegistry();
        registry.set(createUpstream("a"));
        registry.markLeaving("a");
        expect(getAvailable()).toEqual([]);
        registry.set(createUpstream("a"));
        expect(getAvailable()).toEqual(["a"]);
    });

    // Guards against records that are older than what the upstream itself has said, and that bring it back while the store is
    // unavailable or after it has returned.
    describe("an upstream that has announced that it leaves", () => {
        const leaving = { isLeaving: true, restMilliseconds: undefined };

        it("accepts no requests, whatever its records say, also when they were gone and come back", () => {
            const { announcements, registry, getAvailable } = createRegistry();
            registry.set(createUpstream("a"));
            registry.set(createUpstream("b"));
            announcements.observe(createUpstream("a"), leaving);
            expect([getAvailable(), registry.isAvailable(createUpstream("a"))]).toEqual([["b"], false]);
            registry.set(createUpstream("a"));
            expect(getAvailable()).toEqual(["b"]);
            registry.remove("a", 2_000);
            registry.set(createUpstream("a"));
            expect(getAvailable()).toEqual(["b"]);
        });

        it("accepts them again after a restart under its identifier, and at another address", () => {
            const { announcements, registry, getAvailable } = createRegistry();
            const first = createUpstream("a", { startedAt: 1 });
            registry.set(first);
            announcements.observe(first, leaving);
            registry.set(createUpstream("a", { startedAt: 2 }));
            expect([getAvailable(), registry.isAvailable(first)]).toEqual([["a"], false]);
            announcements.observe(createUpstream("a", { startedAt: 2 }), leaving);
            expect(getAvailable()).toEqual([]);
            registry.set(createUpstream("a", { startedAt: 2, address: "10.0.0.2:8000" }));
            expect(getAvailable()).toEqual(["a"]);
        });

        it("tells listeners, so that requests that wait for it go elsewhere", () => {
            const { announcements, registry } = createRegistry();
            const upstream = createUpstream("a");
            registry.set(upstream);
            const seen: boolean[] = [];
            registry.onChange(() => seen.push(registry.isAvailable(upstream)));
            announcements.observe(upstream, leaving);
            announcements.observe(upstream, leaving);
            expect(seen).toEqual([false]);
        });
    });
});
