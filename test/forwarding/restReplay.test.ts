import { expect } from "earl";
import { describe, it } from "node:test";
import { replayRest } from "./restReplay.js";

/** The users' bound, without their slack of half a second. */
const maxWhileResting = 2;

/** `isServed`: the others have room for nearly all requests. */
const fleets = [
    { nodes: 8, upstreams: 13, resting: 4, isServed: true },
    { nodes: 8, upstreams: 13, resting: 13, isServed: false },
    { nodes: 59, upstreams: 78, resting: 26, isServed: true },
    { nodes: 350, upstreams: 210, resting: 70, isServed: true },
    { nodes: 350, upstreams: 210, resting: 160, isServed: false },
];

describe("a fleet before upstreams that ask for rest", () => {
    for (const { isServed, ...fleet } of fleets) {
        const { nodes, upstreams, resting } = fleet;
        // Guards against a pool whose resting upstreams get most of its requests, and against nodes that all return to them at once.
        it(`keeps to it with ${nodes} nodes when ${resting} of ${upstreams} do`, () => {
            const result = replayRest({ ...fleet, seed: 1 });
            expect(result.mostWhileResting).toBeLessThanOrEqual(maxWhileResting);
            expect(result.shareAtEnd).toBeGreaterThan(0.7);
            expect(result.returnPeak).toBeLessThan(2.5);
            expect(result.servedShare).toBeGreaterThanOrEqual(isServed ? 0.97 : 0);
        });
    }
});
