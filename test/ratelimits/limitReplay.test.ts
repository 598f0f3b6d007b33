import { expect } from "earl";
import { describe, it } from "node:test";
import { type LimitReplayOptions, replayLimits } from "./limitReplay.js";

const usual = { from: 8_000, until: 24_000, milliseconds: 40_000, frozenShare: 0.2 };

/** Each holder sends a request in two seconds at least, which is half of its share here; some of them stand still. */
const minUsedShare = 0.25;

/** Half more than the stated rate in 4 s, and five requests. */
function getMaxInWindow({ statedPerSecond }: LimitReplayOptions): number {
    return 1.5 * 4 * statedPerSecond + 5;
}

describe("a fleet whose runners state rate limits", () => {
    // Guards against a fleet that overruns runners in need, leaves them idle, or goes on to spare them when they are well again.
    const fleets: readonly LimitReplayOptions[] = [
        { ...usual, seed: 1, nodes: 8, runners: 13, limited: 2, statedPerSecond: 1.9, requestsPerNode: 10 },
        { ...usual, seed: 2, nodes: 8, runners: 13, limited: 13, statedPerSecond: 1.9, requestsPerNode: 10 },
        { ...usual, seed: 3, nodes: 59, runners: 78, limited: 9, statedPerSecond: 3, requestsPerNode: 6 },
    ];
    for (const fleet of fleets) {
        const { nodes, runners, limited } = fleet;
        it(`keeps to them with ${nodes} nodes and ${limited} of ${runners} runners in need`, async () => {
            const result = await replayLimits(fleet);
            expect(result.maxInWindow).toBeGreaterThan(0);
            expect(result.maxInWindow).toBeLessThanOrEqual(getMaxInWindow(fleet));
            expect(result.usedShare).toBeGreaterThan(minUsedShare);
            expect(result.freeShare).toEqual(1);
            expect(result.regainedShare).toBeGreaterThan(0.5);
            expect(result.refused > 0).toEqual(limited === runners);
        });
    }
});
