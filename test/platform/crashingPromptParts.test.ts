import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { CrashingFleet } from "./crashingFleet.js";
import { PlatformSite, type SiteNode } from "./platformSite.js";

const nodeCount = 3;
const runnerCount = 8;
const firstPart = "f1257";
const crashingPart = "dead";
/** Crashes by which all nodes know the part, and requests with it that may reach runners after the contact time. */
const maxCrashes = 5;
const maxLateRequests = 3;
const contactMilliseconds = 3_000;
const rounds = 30;
const roundMilliseconds = 250;

/** Time and prompt of a request that reached a runner. */
interface Arrival {
    readonly at: number;
    readonly parts: string;
}

// A part of prompts crashes each runner that begins to answer. Ever new requests with it come to any node, beside sound ones with
// the same first part.
describe("a part of prompts that crashes its runners", () => {
    const site = new PlatformSite("127.72.61");
    const arrivals: Arrival[] = [];
    const fleet = new CrashingFleet(site, ({ headers }) => {
        const parts = String(headers["prompt-prefix"]);
        arrivals.push({ at: Date.now(), parts });
        return parts.includes(crashingPart);
    });
    let requestCount = 0;
    const sendCrashing = (node: SiteNode) => {
        requestCount += 1;
        return fleet.sendPrompt(node, [firstPart, crashingPart, `a${requestCount}`]);
    };
    const sendSound = (node: SiteNode) => {
        requestCount += 1;
        return fleet.sendPrompt(node, [firstPart, `b${requestCount % 2}`, `c${requestCount}`]);
    };
    after(() => site.stop());
    before(() => fleet.start(runnerCount, nodeCount));

    // Guards against a part that is sent to runners in ever new requests, until none is left.
    it("is not sent on without end, while sound requests are served", async () => {
        // The fifth crash, or the last one if there are fewer.
        let decisiveCrashAt = Number.POSITIVE_INFINITY;
        let crashes = 0;
        const sound: { readonly at: number; readonly isServed: boolean; }[] = [];
        for (let round = 0; round < rounds; round += 1) {
            void sendCrashing(site.nodes[round % nodeCount]);
            const answers = await Promise.all(site.nodes.map(sendSound));
            if (crashes < maxCrashes && fleet.crashed.length > crashes) {
                crashes = fleet.crashed.length;
                decisiveCrashAt = Date.now();
            }
            sound.push(...answers.map(answer => ({ at: Date.now(), isServed: answer?.status === 200 })));
            await sleep(roundMilliseconds);
        }
        const late = arrivals.filter(({ at, parts }) =>
            at > decisiveCrashAt + contactMilliseconds && parts.includes(crashingPart)
        );
        const soundLater = sound.filter(({ at }) => at > decisiveCrashAt + contactMilliseconds);
        const servedCount = soundLater.filter(({ isServed }) => isServed).length;
        expect(late.length <= maxLateRequests).toEqual(true);
        expect(fleet.crashed.length >= 3).toEqual(true);
        expect(soundLater.length > 0 && servedCount >= 0.9 * soundLater.length).toEqual(true);
    });

    // Guards against nodes that forget with their processes which parts crash runners.
    it("is not sent after all nodes were killed and started again", async () => {
        for (const node of site.nodes) {
            node.child.kill("SIGKILL");
            await node.exited;
        }
        const crashes = fleet.crashed.length;
        for (let index = 1; index <= nodeCount; index += 1) {
            const node = site.startNode(index);
            await site.waitForReady(node);
            await waitUntil(async () => (await sendSound(node))?.status === 200, {
                description: "an answer to a request without the part",
            });
            const answer = await sendCrashing(node);
            expect([answer?.status, fleet.crashed.length]).toEqual([503, crashes]);
        }
    });
});
