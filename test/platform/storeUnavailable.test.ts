import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { createConfiguration, PlatformSite } from "./platformSite.js";

const readPath = /^GET \/v1\/log-(read|newest)/;

describe("nodes without the store", () => {
    const site = new PlatformSite("127.72.2");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        for (const index of [1, 2, 3]) {
            site.startNode(index);
        }
        for (const node of site.nodes) {
            await site.waitForReady(node);
            await site.waitForAddresses(node, 3);
        }
    });

    it("read the store through a single node", async () => {
        await new Promise(resolve => setTimeout(resolve, 3_000));
        const from = site.store.calls.length;
        await waitUntil(() => site.store.calls.length > from + 8, { description: "some reads" });
        const readers = new Set(
            site.store.calls.slice(from).filter(call => readPath.test(call)).map(call => call.split(" ")[2]),
        );
        expect(readers.size).toEqual(1);
    });

    // The store refuses one node but serves the others, and an API key is revoked meanwhile. The key must not be accepted for
    // longer than the revocation bound, not even by that node.
    it("receive from each other what the store refuses to send", async () => {
        for (const [index, node] of site.nodes.entries()) {
            site.store.faultsByCaller.clear();
            site.store.faultsByCaller.set(node.address, "busy");
            site.store.put("keyed.op", "config", createConfiguration(10 + index, ["key"]));
            const inForce = () =>
                node.events.some(event => event.name === "routes-in-force" && event.version === 10 + index);
            await waitUntil(inForce, {
                description: `version ${10 + index} at ${node.address}`,
                timeoutMilliseconds: 3_000,
            });
        }
        site.store.faultsByCaller.clear();
    });

    // The store stays unavailable, so nodes cannot know whether an API key has been revoked since. After the bound they must
    // refuse all keys, and the refusal must state that nothing has run.
    it("refuse keys when their state is too old, and accept them when the store is available again", async () => {
        const [node] = site.nodes;
        expect((await site.send(node)).status).toEqual(200);
        site.store.fault = "silent";
        const refused = await waitUntil(async () => {
            const answer = await site.send(node);
            return answer.status === 503 ? answer : undefined;
        }, { description: "the refusal", timeoutMilliseconds: 12_000 });
        expect(JSON.parse(refused.body)).toEqual({ ...JSON.parse(refused.body), error: "stale", outcome: "not-run" });
        expect(Number(refused.headers["retry-after"]) > 0).toEqual(true);
        site.store.fault = "well";
        for (const other of site.nodes) {
            await waitUntil(async () => (await site.send(other)).status === 200, { description: "the store's return" });
        }
    });

    // A node is killed and restarts while the store does not answer it. It must read the state from its peers instead of waiting
    // for the store. Until then it must refuse requests as temporarily unavailable, not as unknown.
    it("restart with the state of their peers", async () => {
        const killedNode = site.nodes[2];
        site.store.faultsByCaller.set(killedNode.address, "silent");
        killedNode.child.kill("SIGKILL");
        await killedNode.exited;
        const node = site.startNode(3);
        await site.waitForReady(node);
        expect((await site.send(node)).status).toEqual(200);
        site.store.faultsByCaller.clear();
    });

    // A node receives the stop signal while it handles a request. The platform and callers must see that it is leaving, and the
    // request must complete.
    it("shut down gracefully", async () => {
        const node = site.nodes[1];
        for (const runner of site.runners.values()) {
            const { behaviour } = runner;
            runner.behaviour = async (request, response) => {
                await new Promise(resolve => setTimeout(resolve, 800));
                await behaviour(request, response);
            };
        }
        const answering = site.send(node, { path: "/booking/1" });
        await new Promise(resolve => setTimeout(resolve, 100));
        node.child.kill("SIGTERM");
        await waitUntil(async () => (await site.request(node, 7_002, "/v1/readyz"))?.status === 503, {
            description: "not ready",
        });
        await site.waitForAddresses(site.nodes[0], 2);
        expect((await answering).status).toEqual(200);
        expect(await node.exited).toEqual(0);
        const names = node.events.map(event => event.name);
        expect(names.includes("process-stopping") && names.includes("process-stopped")).toEqual(true);
    });
});
