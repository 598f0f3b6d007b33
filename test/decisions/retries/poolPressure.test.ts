import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../../src/common/index.js";
import { PoolPressure, RankShares, WindowedRetryBudget } from "../../../src/decisions/index.js";

function createRequest(priority: number) {
    return { pool: "app", priority, objectiveMilliseconds: 300 };
}

function createPressure(room: { readonly occupancy?: number; readonly wait?: number; } | undefined) {
    const clock = new ManualClock(100_000);
    const ranks = new RankShares(clock);
    for (const priority of [0, 1, 2, 2]) {
        ranks.add("app", priority);
    }
    const pressure = new PoolPressure({
        room: room && { getOccupancy: () => room.occupancy, getWaitMilliseconds: () => room.wait ?? 0 },
        ranks,
    });
    return { clock, pressure };
}

describe("PoolPressure", () => {
    it("takes a pool as full when new requests wait, or would begin too late", () => {
        const isFull = (...[room]: Parameters<typeof createPressure>): boolean =>
            createPressure(room).pressure.isFull(createRequest(2));
        expect([isFull(undefined), isFull({}), isFull({ occupancy: 0.99, wait: 300 })]).toEqual([false, false, false]);
        expect([isFull({ occupancy: 1 }), isFull({ occupancy: 0.9, wait: 301 })]).toEqual([true, true]);
    });

    it("lets the most urgent requests yield to nobody, and others while the pool is full", () => {
        const full = createPressure({ occupancy: 1 }).pressure;
        expect([0, 1, 2].map(priority => full.mustYield(createRequest(priority)))).toEqual([false, true, true]);
        const free = createPressure({ occupancy: 0.5 }).pressure;
        expect(free.mustYield(createRequest(2))).toEqual(false);
        expect(free.getRetryReserve(createRequest(2), 20)).toEqual(0);
    });

    // Guards against retries of the least urgent requests that leave none for the most urgent ones while a pool is full.
    it("keeps retries for more urgent requests when all ask for them at a full pool", () => {
        const { clock, pressure } = createPressure({ occupancy: 1.5 });
        const budget = new WindowedRetryBudget({
            clock,
            windowMilliseconds: 10_000,
            getAllowance: () => ({ ratio: 0, extra: 100 }),
            getShare: () => 1,
        });
        const takeAll = (priority: number): number => {
            let taken = 0;
            while (budget.tryAcquire(pressure.getRetryReserve(createRequest(priority), budget.getAllowed()))) {
                taken += 1;
            }
            return taken;
        };
        expect([takeAll(2), takeAll(1), takeAll(0)]).toEqual([44, 22, 22]);
    });
});
