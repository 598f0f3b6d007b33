import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { rereadDelayMilliseconds, RolloutFleet } from "../fixtures/rolloutFleet.js";

const durationMilliseconds = 6_000;
/**
 * Maximum time between the end of the duration and the end of the roll-out, while one node runs and reaches the store.
 */
const completionSlackMilliseconds = 5_000;
/** Maximum number of records: the order and each step. Each step waits until the previous record was received. */
const maxRecords = 6;

async function createFleet(
    nodes: number,
    seed: number,
    maxDeliveryMilliseconds = 300,
    unreliableDeliveryShare = 0,
): Promise<RolloutFleet> {
    const fleet = new RolloutFleet({
        nodes,
        seed,
        requestsPerSecond: 20,
        maxDeliveryMilliseconds,
        unreliableDeliveryShare,
        sessionMilliseconds: 5_000,
        durationMilliseconds,
    });
    await fleet.run(1_000);
    fleet.orderRollout();
    return fleet;
}

describe("a roll-out's end", () => {
    // The nodes that would take the next step are killed together and never return. The others wait in the order of
    // their rank, behind all nodes that still count as running.
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

    // Nodes fail and restart, and records of a step arrive late, only with the next read, or twice. The operator waits
    // for the end of the roll-out.
    it("comes in time whichever nodes fail and restart, while one runs", async () => {
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
                fc.record({ deliveryMilliseconds: fc.nat(600), unreliableDeliveryShare: fc.constantFrom(0, 0.1, 0.5) }),
                events,
                async (nodes, survivor, seed, { deliveryMilliseconds, unreliableDeliveryShare }, changes) => {
                    const fleet = await createFleet(nodes, seed, deliveryMilliseconds, unreliableDeliveryShare);
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
                    const lateMilliseconds = unreliableDeliveryShare === 0 ? 0 : maxRecords * rereadDelayMilliseconds;
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
