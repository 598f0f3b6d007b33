import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite, type SiteAnswer, type SiteNode } from "./platformSite.js";

/** Sends a request as soon as the node listens. */
function sendWhenListening(site: PlatformSite, node: SiteNode): Promise<SiteAnswer> {
    return waitUntil(() => site.send(node).catch(() => undefined), { description: "a listener" });
}

describe("a node that starts", () => {
    // Callers wait for a fifth of this time. It is long so that a slow machine does not affect the result.
    const site = new PlatformSite("127.72.5", { config_apply_ms: 20_000 });
    before(() => site.start(1));
    after(() => site.stop());

    // The V8 options of the nodes change, but the cached code is not compiled again. V8 then rejects the cache, and every start
    // compiles the whole program. After a power failure the site is down for callers for twice as long.
    it("runs the compiled code that is cached beside the program", async () => {
        const node = site.startNode(1);
        await site.waitForReady(node);
        expect(node.events.filter(event => event.name === "compiled-code-refused")).toEqual([]);
    });

    // All nodes lost power and start together. A caller is refused because the program is still loading or because the first
    // configuration arrives a few milliseconds later. It has then used up its attempts and receives no answer.
    it("serves the first caller without a refusal", async () => {
        const answer = await sendWhenListening(site, site.startNode(2));
        expect([answer.status, answer.body]).toEqual([200, (await site.send(site.nodes[0])).body]);
    });
});

describe("a node that starts during a roll-out", () => {
    const site = new PlatformSite("127.72.10", { config_apply_ms: 20_000 });
    before(() => site.start(1));
    after(() => site.stop());

    // All sessions have moved to the new version. A node that has not read this yet would serve its first callers by the old one.
    it("serves its first caller by the version that the sessions have moved to", async () => {
        const newRunner = await site.addRunner("i-new", "v2");
        const id = site.store.put("keyed.op", "rollout/pool", { service: "pool", target: "v2", deadline_s: 600 });
        const progress = { order: id, version: "v2", state: "moving", step: 3, share: 1, firstShare: 0.1 };
        site.store.put("keyed.status", "progress/pool", { ...progress, orderedAt: Date.now() });
        site.store.readDelays.set("keyed.status", 300);
        const answer = await sendWhenListening(site, site.startNode(1));
        expect([answer.status, newRunner.received.length]).toEqual([200, 1]);
    });
});

describe("a node that starts alone without the store", () => {
    const site = new PlatformSite("127.72.6");
    before(() => site.start(1));
    after(() => site.stop());

    // The store is unavailable while a node starts, and there is no peer to read through. Callers must not wait for it in vain:
    // they are soon refused with an outcome of not run and a retry delay, and later callers are refused without any wait.
    it("refuses callers soon, and serves them when the store is available again", async () => {
        site.store.fault = "silent";
        const node = site.startNode(1);
        const refused = await sendWhenListening(site, node);
        expect([refused.status, JSON.parse(refused.body).outcome]).toEqual([503, "not-run"]);
        expect(Number(refused.headers["retry-after"]) > 0).toEqual(true);
        site.store.fault = "well";
        await waitUntil(async () => (await site.send(node)).status === 200, { description: "the store's return" });
    });
});
