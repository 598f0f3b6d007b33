import { expect } from "earl";
import { describe, it } from "node:test";
import { type Arrival, createSchedule } from "../../src/load/index.js";
import { createProfile } from "../fixtures/loadProfiles.js";

const { works } = createProfile();

function create(seed: number, ratePerSecond = 50): readonly Arrival[] {
    return createSchedule({ works, ratePerSecond, seconds: 40, seed });
}

describe("createSchedule", () => {
    it("gives the same schedule for a seed and another for another", () => {
        expect(create(7)).toEqual(create(7));
        expect(create(7).map(arrival => arrival.at)).not.toEqual(create(8).map(arrival => arrival.at));
    });

    it("keeps the arrival times when the mix changes", () => {
        const others = createSchedule({ works: works.slice(0, 1), ratePerSecond: 50, seconds: 40, seed: 7 });
        expect(others.map(arrival => arrival.at)).toEqual(create(7).map(arrival => arrival.at));
    });

    it("has the rate and spread of a Poisson process", () => {
        const arrivals = create(3);
        // 2,000 arrivals are expected; six standard deviations are 268.
        expect(Math.abs(arrivals.length - 2000) < 268).toEqual(true);
        const gaps = arrivals.slice(1).map((arrival, index) => arrival.at - arrivals[index].at);
        expect(gaps.every(gap => gap >= 0)).toEqual(true);
        // Exponential gaps: a share of 1/e is longer than the mean of 20 ms, where even gaps would have none or all.
        const longShare = gaps.filter(gap => gap > 20).length / gaps.length;
        expect(Math.abs(longShare - Math.exp(-1)) < 0.06).toEqual(true);
    });

    it("draws work by its share", () => {
        const arrivals = create(5);
        const plans = arrivals.filter(arrival => arrival.work.name === "plan").length;
        expect(Math.abs(plans / arrivals.length - 0.5) < 0.07).toEqual(true);
    });

    it("gives each session its turns in order over one history", () => {
        const sessions = new Map<string, Arrival[]>();
        for (const arrival of create(2)) {
            if (arrival.session !== undefined) {
                sessions.set(arrival.session, [...sessions.get(arrival.session) ?? [], arrival]);
            }
        }
        const full = [...sessions.values()].filter(turns => turns.length === 3);
        // All but the two that are open at the end are full.
        expect(full.length >= sessions.size - 2 && full.length > 50).toEqual(true);
        for (const turns of full) {
            expect(turns.map(arrival => arrival.turn)).toEqual([0, 1, 2]);
            expect(new Set(turns.map(arrival => arrival.history)).size).toEqual(1);
        }
    });
});
