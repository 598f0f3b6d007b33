/**
 * Plays of a fleet whose runners crash, and what the users' limits permit.
 */
import { expect } from "earl";
import { CrashReplay } from "./crashReplay.js";
import type { CrashReplayOptions, CrashReplayResult } from "./crashReplayOptions.js";

/** A fleet of the size of today's sites. */
export const fleet = { nodes: 8, runners: 13, requestsPerSecond: 80 };
/** Times of outages of half of the runners, in milliseconds. */
export const outages = [10_000, 13_000, 16_000, 20_000, 24_000, 30_000, 40_000];
const seeds = [1, 2, 3, 4, 5];
/** Retries that are permitted after the contact time. */
const maxLateRetries = 3;

/** Plays a fleet with each seed. */
export function play(options: Omit<CrashReplayOptions, "seed">): Promise<CrashReplayResult[]> {
    return Promise.all(seeds.map(seed => new CrashReplay({ ...options, seed }).play()));
}

/** Returns the number of harmless requests that may be refused: five and one in five hundred. */
function getRefusalLimit({ harmlessRequests }: CrashReplayResult): number {
    return 5 + harmlessRequests / 500;
}

/** Expects what the users' limits permit: retries of a crashing request late at runners, and harmless requests that are refused. */
export function expectWithinLimits(results: readonly CrashReplayResult[]): void {
    for (const result of results) {
        expect(result.lateRetries <= maxLateRetries).toEqual(true);
        expect(result.refusedHarmless <= getRefusalLimit(result)).toEqual(true);
    }
}

/** Expects what the users' limits permit: requests with a crashing part late at runners, and related requests that are refused. */
export function expectPartStopped(results: readonly CrashReplayResult[], crashingParts = 1): void {
    for (const { crashes, lateRetries, lateRelated, refusedRelated } of results) {
        expect(crashes > 0).toEqual(true);
        expect(lateRetries <= maxLateRetries * crashingParts).toEqual(true);
        expect(refusedRelated <= lateRelated / 2).toEqual(true);
    }
}
