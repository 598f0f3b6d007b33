import { expect } from "earl";
import { describe, it } from "node:test";
import { RolloutFleet } from "../fixtures/rolloutFleet.js";

const durationMilliseconds = 24_000;

async function runRollout(nodes: number, requestsPerSecond: number, seed: number): Promise<RolloutFleet> {
    const fleet = new RolloutFleet({
        nodes,
        seed,
        requestsPerSecond,
        maxDeliveryMilliseconds: 100,
        sessionMilliseconds: 8_500,
        durationMilliseconds,
    });
    await fleet.run(15_000);
    fleet.orderRollout();
    await fleet.run(durationMilliseconds);
    return fleet;
}

describe("sessions during a roll-out", () => {
    // Guards against answers by two versions within a session: a session that continues at another node was answered by
    // the old version and then by the new one.
    for (const [nodes, requestsPerSecond] of [[2, 60], [18, 80], [90, 405], [350, 1_600]]) {
        it(`stay on the old version in the first half, also at a node that has not served them, at ${nodes} nodes`, async () => {
            for (const seed of [1, 2, 3]) {
                const fleet = await runRollout(nodes, requestsPerSecond, seed);
                const early = fleet.versionChanges.filter(({ at, to }) => to === "v2" && at < durationMilliseconds / 2);
                expect(early).toEqual([]);
            }
        });
    }

    it("are not taken back to the old version while the new one is good", async () => {
        for (const seed of [1, 2, 3]) {
            const fleet = await runRollout(90, 405, seed);
            expect(fleet.versionChanges.filter(({ to }) => to === "v1")).toEqual([]);
            expect(fleet.getProgress()?.state).toEqual("completed");
        }
    });

    // A bad version must be found while few callers use it. Without any caller in the first half it would be found only
    // when all of them use it.
    it("start on the new version in small numbers in the first half", async () => {
        const fleet = await runRollout(90, 405, 1);
        const answered = fleet.answeredInFirstHalf.get("v2") ?? 0;
        expect(answered >= 10).toEqual(true);
        expect(answered < 0.0975 * 0.5 * 405 * 12).toEqual(true);
    });
});
