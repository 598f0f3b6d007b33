import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import { PlatformSite, type SiteAnswer } from "./platformSite.js";
import { nodeHeader, sentAtHeader, StatingRunner } from "./standins/statingRunner.js";

const nodeCount = 3;
const runnerCount = 4;
const requestMilliseconds = 12;
const paths = ["/call/1", "/booking/1", "/stream/1"];
/** The users' bounds: a request that was sent this much later must not arrive, and two may arrive after the slack. */
const drainMilliseconds = 2_000;
const restSlackMilliseconds = 500;
const maxWhileResting = 2;
const restSeconds = 3;

// Upstreams say with their answers that they leave, or ask for rest as they reject requests, and the registry does not show it.
describe("an upstream that wants no requests", () => {
    const site = new PlatformSite("127.72.53");
    const runners: StatingRunner[] = [];
    after(() => site.stop());
    before(async () => {
        await site.start(0);
        for (let index = 1; index <= runnerCount; index += 1) {
            runners.push(new StatingRunner(await site.addRunner(`i-${index}`)));
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, nodeCount);
        }
    });
    afterEach(() => {
        site.store.fault = "well";
    });

    /** Sends requests of all kinds to all nodes in turn for a while. */
    async function sendFor(milliseconds: number): Promise<readonly SiteAnswer[]> {
        const pending: Promise<SiteAnswer>[] = [];
        const endsAt = performance.now() + milliseconds;
        while (performance.now() < endsAt) {
            const node = site.nodes[Math.floor(pending.length / paths.length) % nodeCount];
            const headers = { [nodeHeader]: node.address, [sentAtHeader]: String(performance.now()) };
            pending.push(site.send(node, { path: paths[pending.length % paths.length], headers }));
            await new Promise(resolve => setTimeout(resolve, requestMilliseconds));
        }
        return Promise.all(pending);
    }

    // Guards against nodes that go on sending requests to an upstream that rejects them and has asked for rest.
    it("gets none from a node that it has asked for rest, and the others serve them", async () => {
        runners[1].restSeconds = restSeconds;
        const answers = await sendFor(restSeconds * 1_000 + 500);
        runners[1].restSeconds = undefined;
        expect(runners[1].getNodes().size).toEqual(nodeCount);
        expect(runners[1].getMostWhileResting(restSlackMilliseconds)).toBeLessThanOrEqual(maxWhileResting);
        expect(answers.filter(({ status }) => status !== 200).length).toEqual(0);
    });

    // Guards against nodes that learn only from the store that an upstream leaves, although its answers have said so.
    it("gets none from a node that it has told that it leaves, while the store is away", async () => {
        site.store.fault = "silent";
        runners[0].isLeaving = true;
        const answers = await sendFor(drainMilliseconds + 2_500);
        expect(runners[0].getNodes().size).toEqual(nodeCount);
        expect(runners[0].getAfterLeaving(drainMilliseconds).length).toEqual(0);
        expect(answers.filter(({ status }) => status !== 200).length).toEqual(0);
    });
});
