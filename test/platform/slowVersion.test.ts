import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite } from "./platformSite.js";
import { answerDone, type ReceivedRequest, type RunnerBehaviour } from "./standins/runnerStandin.js";

const usualMilliseconds = 100;
const slowMilliseconds = 8 * usualMilliseconds;
/** Time after which callers leave: no slow answer reaches them. */
const patienceMilliseconds = 7 * usualMilliseconds;
const callers = 12;

function getState(site: PlatformSite): unknown {
    return (site.store.get("keyed.status", "rollout/pool") as { state?: unknown; } | undefined)?.state;
}

/** Describes the roll-out, for the message of a wait that timed out. */
function describeRollout(site: PlatformSite): string {
    const lines = site.nodes.flatMap(node => node.events).filter(event => event.event >= 444 && event.event <= 447);
    return JSON.stringify([getState(site), ...lines.slice(-12)]);
}

function createBehaviour(getMilliseconds: () => number): RunnerBehaviour {
    return (request: ReceivedRequest, response: ServerResponse) => {
        setTimeout(() => answerDone(request, response), getMilliseconds());
    };
}

/** Sends requests of new sessions until the site stops. */
function startTraffic(site: PlatformSite): void {
    let isStopped = false;
    let sessions = 0;
    const run = async (): Promise<void> => {
        while (!isStopped) {
            sessions += 1;
            const node = site.nodes[sessions % site.nodes.length];
            const headers = { "session": `s-${sessions}`, "deadline-ms": String(patienceMilliseconds) };
            await site.send(node, { headers });
        }
    };
    const runs = Array.from({ length: callers }, run);
    site.addCleanup(async () => {
        isStopped = true;
        await Promise.all(runs);
    });
}

describe("a new version of which half of the answers are eight times as slow", () => {
    const site = new PlatformSite("127.73.81");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        for (const runner of site.runners.values()) {
            runner.behaviour = createBehaviour(() => usualMilliseconds);
        }
        for (const index of [1, 2]) {
            await site.waitForReady(site.startNode(index));
        }
        await site.waitForAddresses(site.nodes[0], 2);
        await site.waitForAddresses(site.nodes[1], 2);
    });

    // Guards against keeping a version whose slow answers nobody waits for, so that only its quick ones have a time.
    it("is reverted when callers leave before the slow answers", async () => {
        const slow = await site.addRunner("i-slow", "v2");
        let answers = 0;
        slow.behaviour = createBehaviour(() => ++answers % 2 === 0 ? slowMilliseconds : usualMilliseconds);
        startTraffic(site);
        site.store.put("keyed.op", "rollout/pool", { service: "pool", target: "v2", deadline_s: 12 });
        await waitUntil(() => ["completed", "reverted"].includes(String(getState(site))), {
            description: "the end",
            describeState: () => describeRollout(site),
            timeoutMilliseconds: 20_000,
        });
        expect(getState(site)).toEqual("reverted");
    });
});
