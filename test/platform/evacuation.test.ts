import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite } from "./platformSite.js";

const topic = "keyed.op";
const evacuationKey = "evacuate/north";

describe("an evacuation", () => {
    const site = new PlatformSite("127.72.31", { evacuate_ms: 2_000 });
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        site.register("i-2", { zone: "west" });
        site.startNode(1);
        site.startNode(2);
        for (const node of site.nodes) {
            await site.waitForReady(node);
            await site.waitForAddresses(node, 2);
        }
    });

    function countLines(name: string): number {
        return site.nodes.filter(({ events }) => events.some(event => event.name === name)).length;
    }

    // Guards against requests that still reach the runners of a failure domain after the operator has evacuated it.
    it("keeps requests from the runners of its failure domain at all nodes until it ends", async () => {
        const evacuated = site.runners.get("i-1")!;
        site.store.put(topic, evacuationKey, {});
        await waitUntil(() => countLines("evacuation-started") === 2, { description: "the evacuation" });
        const received = evacuated.received.length;
        for (const node of site.nodes) {
            for (let request = 0; request < 20; request += 1) {
                expect((await site.send(node)).status).toEqual(200);
            }
        }
        expect(evacuated.received.length).toEqual(received);

        site.store.remove(topic, evacuationKey);
        await waitUntil(() => countLines("evacuation-ended") === 2, { description: "the end of the evacuation" });
        await waitUntil(async () => {
            await site.send(site.nodes[0]);
            return evacuated.received.length > received;
        }, { description: "requests at the runner again" });
    });

    // Guards against a node that starts in the middle of an evacuation, or reads the store through a peer, and ignores it.
    it("is in force at a node that starts later, also without the store", async () => {
        site.store.put(topic, evacuationKey, {});
        const [node] = site.nodes;
        site.store.faultsByCaller.set(node.address, "silent");
        node.child.kill("SIGKILL");
        await node.exited;
        const restarted = site.startNode(1);
        await site.waitForReady(restarted);
        const evacuated = site.runners.get("i-1")!;
        const received = evacuated.received.length;
        for (let request = 0; request < 20; request += 1) {
            expect((await site.send(restarted)).status).toEqual(200);
        }
        expect(evacuated.received.length).toEqual(received);
        site.store.faultsByCaller.clear();
    });

    // Guards against callers who wait for their deadline although every failure domain is evacuated.
    it("of all failure domains refuses requests at once and says that they have not run", async () => {
        site.store.put(topic, evacuationKey, {});
        site.store.put(topic, "evacuate/west", {});
        const [, node] = site.nodes;
        const refused = await waitUntil(async () => {
            const answer = await site.send(node);
            return answer.status === 503 ? answer : undefined;
        }, { description: "a refusal" });
        expect(JSON.parse(refused.body)).toEqual({ ...JSON.parse(refused.body), outcome: "not-run" });
        expect(Number(refused.headers["retry-after"]) > 0).toEqual(true);
        site.store.remove(topic, evacuationKey);
        site.store.remove(topic, "evacuate/west");
        await waitUntil(async () => (await site.send(node)).status === 200, { description: "an answer" });
    });
});
