import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite } from "./platformSite.js";
import { createSeal } from "./standins/runnerStandin.js";

function getState(site: PlatformSite): unknown {
    return (site.store.get("keyed.status", "rollout/pool") as { state?: unknown; } | undefined)?.state;
}

/** Describes the progress of the roll-out, for the message of a wait that timed out. */
function describeRollout(site: PlatformSite): string {
    const lines = site.nodes.flatMap(node => node.events).filter(event => event.event >= 444 && event.event <= 447);
    return JSON.stringify([getState(site), ...lines.slice(-12)]);
}

/** Sends requests of new sessions to all nodes until the returned function is called or the site stops. */
function startTraffic(site: PlatformSite): () => Promise<void> {
    let isStopped = false;
    let sessions = 0;
    const run = async (): Promise<void> => {
        while (!isStopped) {
            sessions += 1;
            const node = site.nodes[sessions % site.nodes.length];
            await site.send(node, { headers: { session: `s-${sessions}` } }).catch(() => {
                // Killing a node breaks its connections.
            });
        }
    };
    const runs = [run(), run(), run()];
    const stop = async (): Promise<void> => {
        isStopped = true;
        await Promise.all(runs);
    };
    site.addCleanup(stop);
    return stop;
}

describe("a roll-out of a pool's software", () => {
    const site = new PlatformSite("127.72.3");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        for (const index of [1, 2]) {
            await site.waitForReady(site.startNode(index));
        }
        await site.waitForAddresses(site.nodes[0], 2);
        await site.waitForAddresses(site.nodes[1], 2);
    });

    // The new version fails half of its requests. Only a few callers may receive such an answer before it is withdrawn.
    it("is reverted when the new version is bad", async () => {
        const bad = await site.addRunner("i-bad", "v2");
        bad.behaviour = (request, response) => {
            const status = bad.received.length % 2 === 0 ? 500 : 200;
            response.writeHead(status, createSeal(request)).end("done");
        };
        const stop = startTraffic(site);
        site.store.put("keyed.op", "rollout/pool", { service: "pool", target: "v2", deadline_s: 12 });
        await waitUntil(() => getState(site) === "reverted", {
            description: "the end",
            describeState: () => describeRollout(site),
        });
        const received = bad.received.length;
        await new Promise(resolve => setTimeout(resolve, 1_000));
        await stop();
        expect(bad.received.length - received <= 2).toEqual(true);
        expect(received < 200).toEqual(true);
        site.store.remove("keyed.servers", "i-bad");
    });

    // A node is killed during the roll-out of a good version. The version must still be in use everywhere before the deadline.
    it("completes in time when the new version is good, even if a node is killed", async () => {
        await site.addRunner("i-good", "v3");
        const stop = startTraffic(site);
        const startedAt = performance.now();
        site.store.put("keyed.op", "rollout/pool", { service: "pool", target: "v3", deadline_s: 6 });
        await waitUntil(() => getState(site) === "in_progress", { description: "the beginning" });
        site.nodes[0].child.kill("SIGKILL");
        await site.nodes[0].exited;
        await waitUntil(() => getState(site) === "completed", {
            description: "completion",
            describeState: () => describeRollout(site),
        });
        expect(performance.now() - startedAt < 6_000).toEqual(true);
        await stop();
        const received = [...site.runners].filter(([id]) => id !== "i-good").map(([, runner]) =>
            runner.received.length
        );
        await site.send(site.nodes[1]);
        expect([...site.runners].filter(([id]) => id !== "i-good").map(([, runner]) => runner.received.length)).toEqual(
            received,
        );
    });
});
