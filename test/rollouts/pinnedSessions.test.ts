import { expect } from "earl";
import { describe, it } from "node:test";
import { PinnedSessions } from "../../src/rollouts/pinnedSessions.js";

describe("PinnedSessions", () => {
    it("has the sessions that this node and the others have pinned, by order", () => {
        const pins = new PinnedSessions("n-1");
        pins.setReport("n-2", { order: 7, ranks: [0.1] });
        expect([pins.add(7, 0.1), pins.add(7, 0.2), pins.add(7, 0.2)]).toEqual([false, true, false]);
        expect([pins.has(7, 0.1), pins.has(7, 0.2), pins.has(7, 0.3), pins.has(8, 0.1)]).toEqual([
            true,
            true,
            false,
            false,
        ]);
        expect(pins.getReport(7)).toEqual({ order: 7, ranks: [0.2] });
        expect(pins.getReport(8)).toEqual({ order: 8, ranks: [] });
    });

    // A node is restarted as planned. If its next report withdrew its earlier pins, other nodes would move those
    // sessions.
    it("includes in its report what it had reported before a restart", () => {
        const pins = new PinnedSessions("n-1");
        pins.setReport("n-1", { order: 7, ranks: [0.1] });
        pins.add(7, 0.2);
        expect(pins.getReport(7)).toEqual({ order: 7, ranks: [0.1, 0.2] });
    });
});
