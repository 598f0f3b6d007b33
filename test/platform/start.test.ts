import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite, type SiteAnswer, type SiteNode } from "./platformSite.js";

/** Sends a request as soon as somebody listens. */
function sendFirst(site: PlatformSite, node: SiteNode): Promise<SiteAnswer> {
    return waitUntil(() => site.send(node).catch(() => undefined), { description: "a listener" });
}

describe("a node that starts", () => {
    // Callers wait for a fifth of this time, so that a busy machine does not decide.
    const site = new PlatformSite("127.72.5", { config_apply_ms: 20_000 });
    before(() => site.start(1));
    after(() => site.stop());

    // The options with which nodes run are changed, and nobody thinks of the kept code. Every start then compiles the whole
    // program, and after a loss of power callers meet a dead site for twice as long.
    it("runs the compiled code that is kept beside the program", async () => {
        const node = site.startNode(1);
        await site.waitForReady(node);
        expect(node.events.filter(event => event.name === "compiled-code-refused")).toEqual([]);
    });

    // All nodes lost power and come back together. A caller whose connection is turned away while the program loads, or whose
    // request is refused milliseconds before the first configuration is read, has used up its tries and gets nothing.
    it("serves the first caller that reaches it, without a refusal", async () => {
        const answer = await sendFirst(site, site.startNode(2));
        expect([answer.status, answer.body]).toEqual([200, (await site.send(site.nodes[0])).body]);
    });
});

describe("a node that starts during a roll-out", () => {
    const site = new PlatformSite("127.72.10", { config_apply_ms: 20_000 });
    before(() => site.start(1));
    after(() => site.stop());

    // All sessions have moved to the new version. A node that does not know that yet answers its first callers by the old one.
    it("serves its first caller by the version that the sessions have moved to", async () => {
        const moved = await site.addRunner("i-new", "v2");
        const id = site.store.put("keyed.op", "rollout/pool", { service: "pool", target: "v2", deadline_s: 600 });
        const progress = { order: id, version: "v2", state: "moving", step: 3, share: 1, firstShare: 0.1 };
        site.store.put("keyed.status", "progress/pool", { ...progress, orderedAt: Date.now() });
        site.store.readDelays.set("keyed.status", 300);
        const answer = await sendFirst(site, site.startNode(1));
        expect([answer.status, moved.received.length]).toEqual([200, 1]);
    });
});

describe("a node that starts alone without the store", () => {
    const site = new PlatformSite("127.72.6");
    before(() => site.start(1));
    after(() => site.stop());

    // The store is away while a node starts, and there is no peer to read through. Callers that wait for it would wait in vain, so
    // they learn soon that nothing has run and when to come back; those that come later are not kept waiting at all.
    it("refuses callers soon, and serves them when the store is back", async () => {
        site.store.fault = "silent";
        const alone = site.startNode(1);
        const refused = await sendFirst(site, alone);
        expect([refused.status, JSON.parse(refused.body).outcome]).toEqual([503, "not-run"]);
        expect(Number(refused.headers["retry-after"]) > 0).toEqual(true);
        site.store.fault = "well";
        await waitUntil(async () => (await site.send(alone)).status === 200, { description: "the store's return" });
    });
});
