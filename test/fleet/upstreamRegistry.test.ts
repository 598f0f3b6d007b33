import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { UpstreamRegistry } from "../../src/fleet/index.js";
import { createUpstream } from "../fixtures/upstreams.js";

function createRegistry() {
    const clock = new ManualClock(1_000);
    const registry = new UpstreamRegistry(clock);
    const removed: string[] = [];
    registry.onRemoved(upstream => removed.push(upstream.id));
    const getAvailable = (): string[] => registry.getAvailable("app").map(upstream => upstream.id);
    return { clock, registry, removed, getAvailable };
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
});
