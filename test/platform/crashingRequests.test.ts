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
    before(async () => {
        await site.start(0);
        for (let index = 0; index < runnerCount; index += 1) {
            await fleet.startRunner();
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, nodeCount);
        }
    });

    // Guards against a request that is sent to runners for as long as its caller comes back, until none is left.
    it("is not sent on without end", async () => {
        for (let index = 0; index < returns; index += 1) {
            await fleet.sendAgain(site.nodes[index % nodeCount]);
            await sleep(returnMilliseconds);
        }
        expect(fleet.crashed.length >= maxCrashes).toEqual(true);
        expect(fleet.crashed.length <= maxCrashes + maxLateRetries).toEqual(true);
    });

    // Guards against a node that forgets with its process which requests crash runners.
    it("is not sent by a node that was restarted", async () => {
        const crashes = fleet.crashed.length;
        site.nodes[0].child.kill("SIGKILL");
        await site.nodes[0].exited;
        const restarted = site.startNode(1);
        await site.waitForReady(restarted);
        await waitUntil(async () => (await fleet.sendOther(restarted, "other"))?.status === 200, {
            description: "an answer to another request",
        });
        await sleep(1_000);
        const answer = await fleet.sendAgain(restarted);
        expect([answer?.status, fleet.crashed.length]).toEqual([503, crashes]);
    });
});
