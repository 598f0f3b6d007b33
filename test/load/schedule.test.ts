import { expect } from "earl";
import { describe, it } from "node:test";
import { type Arrival, createSchedule } from "../../src/load/index.js";
import { createProfile } from "../fixtures/loadProfiles.js";

const { works } = createProfile();

function createTestSchedule(seed: number, ratePerSecond = 50): readonly Arrival[] {
    return createSchedule({ works, ratePerSecond, seconds: 40, seed });
}

describe("createSchedule", () => {
    it("gives equal schedules for equal seeds and different ones for different seeds", () => {
        expect(createTestSchedule(7)).toEqual(createTestSchedule(7));
        expect(createTestSchedule(7).map(arrival => arrival.at)).not.toEqual(
            createTestSchedule(8).map(arrival => arrival.at),
        );
    });

    it("keeps the arrival times when the mix changes", () => {
        const others = createSchedule({ works: works.slice(0, 1), ratePerSecond: 50, seconds: 40, seed: 7 });
        expect(others.map(arrival => arrival.at)).toEqual(createTestSchedule(7).map(arrival => arrival.at));
    });

    it("has the rate and spread of a Poisson process", () => {
        const arrivals = createTestSchedule(3);
        // The expected number is 2,000; 268 is six standard deviations.
        expect(Math.abs(arrivals.length - 2000) < 268).toEqual(true);
        const gaps = arrivals.slice(1).map((arrival, index) => arrival.at - arrivals[index].at);
        expect(gaps.every(gap => gap >= 0)).toEqual(true);
        // A share of 1/e of exponential gaps is longer than their mean of 20 ms. Of constant gaps, none or all would be.
        const longShare = gaps.filter(gap => gap > 20).length / gaps.length;
        expect(Math.abs(longShare - Math.exp(-1)) < 0.06).toEqual(true);
    });

    it("draws work by its share", () => {
        const arrivals = createTestSchedule(5);
        const plans = arrivals.filter(arrival => arrival.work.name === "plan").length;
        expect(Math.abs(plans / arrivals.length - 0.5) < 0.07).toEqual(true);
    });

    it("gives each session its turns in order with one history", () => {
        const sessions = new Map<string, Arrival[]>();
        for (const arrival of createTestSchedule(2)) {
            if (arrival.session !== undefined) {
                sessions.set(arrival.session, [...sessions.get(arrival.session) ?? [], arrival]);
            }
        }
        const completeSessions = [...sessions.values()].filter(turns => turns.length === 3);
        // All sessions but the two that are open at the end have all their turns.
        expect(completeSessions.length >= sessions.size - 2 && completeSessions.length > 50).toEqual(true);
        for (const turns of completeSessions) {
            expect(turns.map(arrival => arrival.turn)).toEqual([0, 1, 2]);
            expect(new Set(turns.map(arrival => arrival.history)).size).toEqual(1);
        }
    });
});
