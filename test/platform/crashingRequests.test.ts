import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { CrashingFleet } from "./crashingFleet.js";
import { PlatformSite } from "./platformSite.js";

const nodeCount = 3;
const runnerCount = 8;
/** How often the caller sends the same request. */
const returns = 12;
/** Runners that a request may crash, and retries that are permitted after that. */
const maxCrashes = 3;
const maxLateRetries = 3;
const returnMilliseconds = 250;

function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

// A request crashes each runner that begins to run it. Its caller sends it again and again, to any node.
describe("a request that crashes its runners", () => {
    const site = new PlatformSite("127.72.45");
    const fleet = new CrashingFleet(site);
    after(() => site.stop());
    before(() => fleet.start(runnerCount, nodeCount));

    // Guards against a request that is sent to runners for as long as its caller comes back, until none is left.
    it("is not sent on without end", async () => {
        for (let index = 0; index < returns; index += 1) {
            await fleet.sendAgain(site.nodes[index % nodeCount]);
            await sleep(returnMilliseconds);
        }
        expect(fleet.crashed.length >= maxCrashes).toEqual(true);
        expect(fleet.crashed.length <= maxCrashes + maxLateRetries).toEqual(true);
    });

    // Guards against nodes that forget with their processes which requests crash runners.
    it("is not sent after all nodes were killed and started again", async () => {
        const crashes = fleet.crashed.length;
        for (const node of site.nodes) {
            node.child.kill("SIGKILL");
            await node.exited;
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            const node = site.startNode(index);
            await site.waitForReady(node);
            await waitUntil(async () => (await fleet.sendOther(node, "other"))?.status === 200, {
                description: "an answer to another request",
            });
            await waitUntil(async () => (await site.getMetrics(node)).includes("rattanlock_quarantined_requests 1"), {
                description: "the quarantine of a node that was started again",
            });
            const answer = await fleet.sendAgain(node);
            expect([answer?.status, fleet.crashed.length]).toEqual([503, crashes]);
        }
    });
});
