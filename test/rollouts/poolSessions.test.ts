import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import type { PinReport, RolloutOrder } from "../../src/rollouts/index.js";
import { getSessionRank, PoolSessions } from "../../src/rollouts/poolSessions.js";

const order: RolloutOrder = { id: 7, pool: "app", version: "v2", durationMilliseconds: 20_000 };

/** Creates a pool's sessions. A test determines when their writes end. */
function createSessions() {
    const clock = new ManualClock();
    const written: PinReport[] = [];
    const resolveWrites: ((hasSucceeded: boolean) => void)[] = [];
    const sessions = new PoolSessions({
        self: "n-1",
        clock,
        sessionMilliseconds: 5_000,
        writePins: report => {
            written.push(report);
            return new Promise(resolve => resolveWrites.push(resolve));
        },
    });
    const endWrite = async (hasSucceeded: boolean): Promise<void> => {
        resolveWrites.shift()!(hasSucceeded);
        await new Promise(resolve => setImmediate(resolve));
    };
    return { clock, sessions, written, endWrite };
}

describe("PoolSessions", () => {
    it("reports the sessions that the old version serves, once", async () => {
        const { sessions, written, endWrite } = createSessions();
        sessions.startRequest("s-1", "v1");
        sessions.startRequest("s-2", "v2");
        sessions.pinServedSessions(order, 1);
        void sessions.reportPins(order);
        await endWrite(true);
        void sessions.reportPins(order);
        expect(written).toEqual([{ order: order.id, ranks: [getSessionRank(order, "s-1")] }]);
    });

    // Guards against reports that overtake each other: if two reports of a node are in flight and the older one arrives
    // last, the pins that only the newer one contains are lost.
    it("writes one report after the other", async () => {
        const { sessions, written, endWrite } = createSessions();
        sessions.pin(order, 1, "s-1");
        void sessions.reportPins(order);
        sessions.pin(order, 1, "s-2");
        void sessions.reportPins(order);
        expect(written.length).toEqual(1);
        await endWrite(true);
        void sessions.reportPins(order);
        expect(written.map(report => report.ranks.length)).toEqual([1, 2]);
    });

    // The store rejects the writes of all nodes. If hundreds of nodes retried at each tick, they would keep it from
    // recovering.
    it("waits before it retries a failed write", async () => {
        const { clock, sessions, written, endWrite } = createSessions();
        sessions.pin(order, 1, "s-1");
        void sessions.reportPins(order);
        await endWrite(false);
        clock.advance(900);
        void sessions.reportPins(order);
        expect(written.length).toEqual(1);
        clock.advance(200);
        void sessions.reportPins(order);
        expect(written.length).toEqual(2);
    });
});
