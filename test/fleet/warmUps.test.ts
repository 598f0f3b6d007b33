import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { createUpstream, createUpstreamRegistry } from "../fixtures/upstreams.js";

function createRegistry() {
    const clock = new ManualClock(1_000);
    const registry = createUpstreamRegistry(clock);
    const getAvailable = (): string[] => registry.getAvailable("app").map(({ id }) => id);
    return { clock, registry, getAvailable };
}

describe("WarmUps", () => {
    it("counts an upstream as warming up for the time that its record reports", () => {
        const { clock, registry } = createRegistry();
        registry.set(createUpstream("a", { warmUpMilliseconds: 3_000 }));
        clock.advance(2_900);
        expect(registry.warmUps.isWarmingUp("a")).toEqual(true);
        expect(registry.warmUps.count()).toEqual(1);
        clock.advance(200);
        expect(registry.warmUps.isWarmingUp("a")).toEqual(false);
        expect(registry.warmUps.count()).toEqual(0);
    });

    it("follows a newer record, whether it reports less time or a new warm-up", () => {
        const { registry } = createRegistry();
        registry.set(createUpstream("a", { warmUpMilliseconds: 3_000 }));
        registry.set(createUpstream("a", { warmUpMilliseconds: 0 }));
        expect(registry.warmUps.isWarmingUp("a")).toEqual(false);
        registry.set(createUpstream("a", { warmUpMilliseconds: 500 }));
        expect(registry.warmUps.isWarmingUp("a")).toEqual(true);
        registry.remove("a", 0);
        expect(registry.warmUps.isWarmingUp("a")).toEqual(false);
    });
});

describe("evacuation", () => {
    it("makes the upstreams of a failure domain unavailable until it ends", () => {
        const { registry, getAvailable } = createRegistry();
        registry.set(createUpstream("a", { failureDomain: "north" }));
        registry.set(createUpstream("b", { failureDomain: "south" }));
        expect(registry.evacuate("north")).toEqual(true);
        expect(registry.evacuate("north")).toEqual(false);
        registry.set(createUpstream("c", { failureDomain: "north" }));
        expect(getAvailable()).toEqual(["b"]);
        expect(registry.countEvacuations()).toEqual(1);
        expect(registry.endEvacuation("north", () => 0)).toEqual(0);
        expect(getAvailable()).toEqual(["a", "b", "c"]);
        expect(registry.endEvacuation("north", () => 0)).toEqual(undefined);
    });

    // Guards against a burst at runners that turned cold while their failure domain was evacuated, before their records show it.
    it("presumes that upstreams warm up after its end, even if a record from before its end says otherwise", () => {
        const { clock, registry } = createRegistry();
        registry.set(createUpstream("a", { failureDomain: "north" }));
        registry.set(createUpstream("b", { failureDomain: "south" }));
        registry.evacuate("north");
        registry.endEvacuation("north", () => 3_000);
        registry.set(createUpstream("a", { failureDomain: "north", warmUpMilliseconds: 0 }));
        expect(["a", "b"].map(id => registry.warmUps.isWarmingUp(id))).toEqual([true, false]);
        clock.advance(3_001);
        expect(registry.warmUps.isWarmingUp("a")).toEqual(false);
    });
});
