import { expect } from "earl";
import { describe, it } from "node:test";
import { getStepDelay } from "../../src/rollouts/stepDelay.js";

describe("getStepDelay", () => {
    it("lets the first nodes by rank take turns one after another, and all others soon after", () => {
        const delays = [0, 1, 3, 4, 349].map(rank => getStepDelay({ rank, hasTakenLastStep: false }));
        expect(delays).toEqual([0, 500, 1_500, 2_000, 3_725]);
    });

    it("lets a node that took the last step continue without a delay", () => {
        expect(getStepDelay({ rank: 349, hasTakenLastStep: true })).toEqual(0);
    });
});
