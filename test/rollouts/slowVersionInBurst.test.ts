import { expect } from "earl";
import { describe, it } from "node:test";
import { type ReplayedRollout, RolloutReplay, type RolloutReplayOptions } from "./rolloutReplay.js";

const durationMilliseconds = 20_000;
const seeds = [1, 2, 3, 4, 5];
const burst = { start: 2_000, end: 9_000, factor: 2.2 };

function replay(options: Omit<RolloutReplayOptions, "durationMilliseconds">): Promise<ReplayedRollout> {
    return new RolloutReplay({ durationMilliseconds, ...options }).run();
}

/** The whole pool is slow from the middle of the roll-out on. */
function getPoolSlowdown(elapsed: number): number {
    return elapsed >= durationMilliseconds / 2 ? 3 : 1;
}

function createBurst(requestsPerSecond: number): (elapsed: number) => number {
    return elapsed => requestsPerSecond * (elapsed >= burst.start && elapsed < burst.end ? burst.factor : 1);
}

/** Checks what a bad version may get: its share of the requests, and nothing more after some time of bad answers. */
function expectBounded(rollout: ReplayedRollout): void {
    const { state, exposed, allowed, late } = rollout;
    expect([state, exposed <= allowed, late, rollout]).toEqual(["reverted", true, 0, rollout]);
}

for (const requestsPerSecond of [35, 60]) {
    describe(`a new version in a burst of callers, at ${requestsPerSecond} requests a second before it`, () => {
        const getRate = createBurst(requestsPerSecond);

        // Guards against taking a slow version that bears little for sound, as the old one's runners are slow under the burst.
        it("is exposed to few callers if half of its answers are slow", async () => {
            for (const seed of seeds) {
                expectBounded(await replay({ seed, getRate, slowShare: 0.5 }));
            }
        });

        it("is completed in time if it is good", async () => {
            for (const seed of seeds) {
                const { state, endedAt } = await replay({ seed, getRate, slowShare: 0 });
                expect([seed, state, endedAt! < durationMilliseconds]).toEqual([seed, "completed", true]);
            }
        });

        // Guards against reverting a good version because the runners of both versions become slow during its roll-out.
        it("is completed in time if it is good and the whole pool becomes slow meanwhile", async () => {
            for (const seed of seeds) {
                const { state, endedAt } = await replay({ seed, getRate, slowShare: 0, getSlowdown: getPoolSlowdown });
                expect([seed, state, endedAt! < durationMilliseconds]).toEqual([seed, "completed", true]);
            }
        });

        // Guards against taking a slow version for good because the whole pool becomes slow during its roll-out.
        it("is exposed to few callers if half of its answers are slow and the whole pool becomes slow meanwhile", async () => {
            for (const seed of seeds) {
                expectBounded(await replay({ seed, getRate, slowShare: 0.5, getSlowdown: getPoolSlowdown }));
            }
        });
    });
}
