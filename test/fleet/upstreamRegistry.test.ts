import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { UpstreamRegistry } from "../../src/fleet/index.js";
import { createUpstream } from "../fixtures/upstreams.js";

function createRegistry() {
    const clock = new ManualClock(1_000);
    const registry = new UpstreamRegistry(clock);
    const gone: string[] = [];
    registry.onRemoved(upstream => gone.push(upstream.id));
    const getTaking = (): string[] => registry.getAvailable("app").map(upstream => upstream.id);
    return { clock, registry, gone, getTaking };
}

describe("UpstreamRegistry", () => {
    describe("set", () => {
        it("gives work to those that are ready, and none to those that leave", () => {
            const { registry, getTaking } = createRegistry();
            registry.set(createUpstream("a"));
            registry.set(createUpstream("b"));
            registry.set(createUpstream("b", { isLeaving: true }));
            expect(getTaking()).toEqual(["a"]);
        });

        // A runner crashes and starts again under the identifier that it had. Its memory and its load are gone, so what
        // was learned of it is wrong: callers would wait at a runner that seemed to hold their prompt.
        it("tells that what was learned is void when an upstream was started anew", () => {
            const { registry, gone } = createRegistry();
            registry.set(createUpstream("a", { startedAt: 1 }));
            registry.set(createUpstream("a", { startedAt: 1, isLeaving: true }));
            expect(gone).toEqual([]);
            registry.set(createUpstream("a", { startedAt: 2 }));
            expect(gone).toEqual(["a"]);
        });
    });

    describe("remove", () => {
        it("forgets an upstream at once when its entry is gone for good", () => {
            const { registry, gone, getTaking } = createRegistry();
            registry.set(createUpstream("a"));
            registry.remove("a", 0);
            expect([getTaking(), gone]).toEqual([[], ["a"]]);
        });

        // The store was away for longer than entries live. All of them lapsed, though every upstream works. Taken at their
        // word the pools would be empty and every caller refused until the upstreams have registered again.
        it("keeps one whose entry may only have lapsed, until it had time to register again", () => {
            const { clock, registry, getTaking } = createRegistry();
            registry.set(createUpstream("a"));
            registry.set(createUpstream("b"));
            registry.remove("a", 2_000);
            registry.remove("b", 2_000);
            clock.advance(1_500);
            registry.set(createUpstream("b"));
            expect(getTaking()).toEqual(["a", "b"]);
            clock.advance(600);
            expect(getTaking()).toEqual(["b"]);
        });
    });
});
