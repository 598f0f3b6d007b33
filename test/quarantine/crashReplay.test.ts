import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashReplay, type CrashReplayOptions, type CrashReplayResult } from "./crashReplay.js";

const fleet = { nodes: 8, runners: 13, requestsPerSecond: 80 };
const outages = [10_000, 13_000, 16_000, 20_000, 24_000, 30_000, 40_000];
const seeds = [1, 2, 3, 4, 5];
/** Retries that are permitted after the contact time. */
const maxLateRetries = 3;

function play(options: Omit<CrashReplayOptions, "seed">): CrashReplayResult[] {
    return seeds.map(seed => new CrashReplay({ ...options, seed }).play());
}

/** Returns the number of harmless requests that may be refused: five and one in five hundred. */
function getRefusalLimit({ harmlessRequests }: CrashReplayResult): number {
    return 5 + harmlessRequests / 500;
}

function expectWithinLimits(results: readonly CrashReplayResult[]): void {
    for (const result of results) {
        expect(result.lateRetries <= maxLateRetries).toEqual(true);
        expect(result.refusedHarmless <= getRefusalLimit(result)).toEqual(true);
    }
}

// Guards against both faults of a quarantine: one that lets a crashing request through, and one that refuses harmless requests
// because they were in flight when runners died.
describe("the quarantine in a fleet whose runners crash", () => {
    it("stops a request that comes back twice a second", () => {
        const results = play({ ...fleet, returnMilliseconds: 500 });
        expectWithinLimits(results);
        expect(Math.max(...results.map(({ crashes }) => crashes)) < 12).toEqual(true);
    });

    it("stops a request that comes back at four nodes at once", () => {
        expectWithinLimits(play({ ...fleet, returnMilliseconds: 2_000, copies: 4 }));
    });

    it("refuses no harmless request when half of all runners crash again and again", () => {
        expect(play({ ...fleet, outages }).map(({ refusedHarmless }) => refusedHarmless)).toEqual([0, 0, 0, 0, 0]);
    });

    it("refuses no harmless request when a failure domain's runners crash", () => {
        const results = play({ ...fleet, outages: [10_000, 20_000, 30_000, 40_000], outageShare: 0.25 });
        expect(results.map(({ refusedHarmless }) => refusedHarmless)).toEqual([0, 0, 0, 0, 0]);
    });

    it("refuses next to no harmless request of which four copies are sent when half of all runners crash", () => {
        expectWithinLimits(play({ ...fleet, requestsPerSecond: 40, harmlessCopies: 4, outages }));
    });

    it("refuses no requests without a body, which share their fingerprint, while another one crashes runners", () => {
        const results = play({ ...fleet, sharesFingerprints: true, returnMilliseconds: 500, copies: 4 });
        expect(results.map(({ refusedHarmless }) => refusedHarmless)).toEqual([0, 0, 0, 0, 0]);
    });

    it("stops a crashing request in a fleet of 195 nodes whose records take seconds", () => {
        const large = { nodes: 195, runners: 69, requestsPerSecond: 358 };
        const delays = { urgentMilliseconds: 400, exchangeMilliseconds: 12_000 };
        expectWithinLimits([
            new CrashReplay({ ...large, ...delays, returnMilliseconds: 500, copies: 4, seed: 1 }).play(),
        ]);
    });
});
