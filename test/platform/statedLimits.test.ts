import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite, type SiteAnswer } from "./platformSite.js";
import { createSeal, type RunnerStandin } from "./standins/runnerStandin.js";

const nodeCount = 3;
const runnerCount = 4;
const statedPerSecond = 2;
/** Time after the first statement from which the limit has to be kept, and the span in which requests are counted. */
const settlingMilliseconds = 3_000;
const windowMilliseconds = 4_000;
/** Half more than the stated rate, and five requests. */
const maxInWindow = 1.5 * statedPerSecond * windowMilliseconds / 1_000 + 5;
const trafficMilliseconds = 10_000;
const requestMilliseconds = 16;

/** A runner that states a rate limit with its answers while it is in need. */
class LimitedRunner {
    /** Times at which requests arrived. */
    readonly arrivals: number[] = [];
    statedAt: number | undefined;
    isInNeed = false;

    constructor(runner: RunnerStandin) {
        runner.behaviour = (request, response) => {
            this.arrivals.push(performance.now());
            if (this.isInNeed) {
                this.statedAt ??= performance.now();
                response.setHeader("Server-Limit", String(statedPerSecond));
            }
            response.writeHead(200, createSeal(request)).end("done");
        };
    }

    /** Returns the most arrivals in a window that begins after the nodes had time to learn of the limit. */
    getMaxInWindow(): number {
        const from = (this.statedAt ?? Number.POSITIVE_INFINITY) + settlingMilliseconds;
        const counted = this.arrivals.filter(at => at >= from);
        return Math.max(0, ...counted.map(start => countWithin(counted, start)));
    }
}

function countWithin(times: readonly number[], start: number): number {
    return times.filter(at => at >= start && at < start + windowMilliseconds).length;
}

// An upstream in need states how many requests a second it takes from all nodes together.
describe("an upstream that states a rate limit", () => {
    const site = new PlatformSite("127.72.46");
    const limited: LimitedRunner[] = [];
    after(() => site.stop());
    before(async () => {
        await site.start(0);
        for (let index = 1; index <= runnerCount; index += 1) {
            limited.push(new LimitedRunner(await site.addRunner(`i-${index}`)));
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, nodeCount);
        }
    });

    /** Sends requests to all nodes in turn, and returns the answers. */
    async function sendTraffic(): Promise<readonly SiteAnswer[]> {
        const pending: Promise<SiteAnswer>[] = [];
        const endsAt = performance.now() + trafficMilliseconds;
        while (performance.now() < endsAt) {
            pending.push(site.send(site.nodes[pending.length % nodeCount]));
            await new Promise(resolve => setTimeout(resolve, requestMilliseconds));
        }
        return Promise.all(pending);
    }

    // Guards against nodes that each send what they like to an upstream that has told them how much it takes from all.
    it("gets no more than that from all nodes together, and the others serve the rest", async () => {
        limited[0].isInNeed = true;
        const answers = await sendTraffic();
        expect(limited[0].getMaxInWindow()).toBeGreaterThan(0);
        expect(limited[0].getMaxInWindow()).toBeLessThanOrEqual(maxInWindow);
        expect(answers.every(({ status }) => status === 200)).toEqual(true);
    });

    // Guards against an upstream that gets little for ever, since the nodes that send it nothing do not learn that its limit has ended.
    it("gets its share again when it no longer states a limit", async () => {
        limited[0].isInNeed = false;
        const before = limited[0].arrivals.length;
        await sendTraffic();
        expect(limited[0].arrivals.length - before).toBeGreaterThan(trafficMilliseconds / 1_000 * statedPerSecond * 2);
        for (const node of site.nodes) {
            await waitUntil(async () => (await site.getMetrics(node)).includes("rattanlock_limited_upstreams 0"), {
                description: "the end of the limit at each node",
            });
        }
    });

    // Guards against requests that wait for an upstream that may not get them, or are sent to it all the same, where all state limits.
    it("makes nodes refuse at once what no upstream takes", async () => {
        for (const runner of limited) {
            runner.statedAt = undefined;
            runner.isInNeed = true;
        }
        const answers = await sendTraffic();
        for (const runner of limited) {
            expect(runner.getMaxInWindow()).toBeLessThanOrEqual(maxInWindow);
        }
        const refused = answers.filter(({ status }) => status !== 200);
        expect(refused.length > 0).toEqual(true);
        expect(refused.every(({ status, headers }) => status === 503 && headers["retry-after"] !== undefined))
            .toEqual(true);
    });
});
