import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { rereadDelayMilliseconds, RolloutFleet } from "../fixtures/rolloutFleet.js";

const durationMilliseconds = 6_000;
/** After its time is over a roll-out has to end within this, as long as one node lives and reaches the store. */
const completionSlackMilliseconds = 5_000;
/** The order and each step, of which the next one waits for the news of the one before. */
const maxRecords = 6;

async function createFleet(
    nodes: number,
    seed: number,
    mostHearingMilliseconds = 300,
    unsteadyShare = 0,
): Promise<RolloutFleet> {
    const fleet = new RolloutFleet({
        nodes,
        seed,
        requestsPerSecond: 20,
        maxDeliveryMilliseconds: mostHearingMilliseconds,
        unreliableDeliveryShare: unsteadyShare,
        sessionMilliseconds: 5_000,
        durationMilliseconds,
    });
    await fleet.run(1_000);
    fleet.orderRollout();
    return fleet;
}

describe("a roll-out's end", () => {
    // The nodes that would take the next step are killed together and never come back. The others wait in the order of their rank,
    // behind all that they still take for alive.
    for (const nodes of [2, 3, 90, 350]) {
        it(`comes in time when only the last by rank is left, at ${nodes} nodes`, async () => {
            for (let killedAt = 0; killedAt <= durationMilliseconds; killedAt += 500) {
                const fleet = await createFleet(nodes, 1);
                await fleet.run(killedAt);
                for (let index = 0; index < nodes - 1; index += 1) {
                    fleet.kill(index);
                }
                await fleet.run(durationMilliseconds + completionSlackMilliseconds - killedAt);
                expect([killedAt, fleet.getProgress()?.state]).toEqual([killedAt, "completed"]);
            }
        });
    }

    // Nodes die and come back, and news of a step comes late, by the next read only, or twice. The operator waits for an end.
    it("comes in time whichever nodes die and come back, while one lives", async () => {
        const events = fc.array(
            fc.record({
                pauseMilliseconds: fc.nat(1_500),
                node: fc.nat(89),
                isStart: fc.boolean(),
            }),
            { maxLength: 12 },
        );
        await fc.assert(
            fc.asyncProperty(
                fc.constantFrom(2, 3, 90),
                fc.nat(89),
                fc.nat(1_000),
                fc.record({ hearing: fc.nat(600), unsteadyShare: fc.constantFrom(0, 0.1, 0.5) }),
                events,
                async (nodes, survivor, seed, { hearing, unsteadyShare }, changes) => {
                    const fleet = await createFleet(nodes, seed, hearing, unsteadyShare);
                    let elapsed = 0;
                    for (const { pauseMilliseconds, node, isStart } of changes) {
                        await fleet.run(pauseMilliseconds);
                        elapsed += pauseMilliseconds;
                        const index = node % nodes;
                        if (isStart) {
                            fleet.start(index);
                        }
                        else if (index !== survivor % nodes) {
                            fleet.kill(index);
                        }
                    }
                    const lateMilliseconds = unsteadyShare === 0 ? 0 : maxRecords * rereadDelayMilliseconds;
                    await fleet.run(
                        Math.max(0, durationMilliseconds + completionSlackMilliseconds + lateMilliseconds - elapsed),
                    );
                    expect(fleet.getProgress()?.state).toEqual("completed");
                },
            ),
            { numRuns: 120, seed: 28 },
        );
    });
});
