import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
    Caller,
    getApiKey,
    getJournal,
    metroManila,
    setFaults,
    Site,
    waitUntil,
    withProcesses,
} from "../../src/testbench/index.js";

const entryCount = 4;
const upstreamCount = 4;
const statedPerSecond = 2;
/** Time in which the entries are told of the limit, and the span in which requests are counted afterwards. */
const settlingMilliseconds = 3_000;
const countedMilliseconds = 8_000;
/** Half more than the stated rate, and five requests. */
const maxCounted = 1.5 * statedPerSecond * countedMilliseconds / 1_000 + 5;
const requestMilliseconds = 25;

/** Sends requests to all entries in turn for a while, and returns the statuses of the answers. */
async function sendFor(milliseconds: number, send: (index: number) => Promise<{ readonly status: number; }>) {
    const pending: Promise<{ readonly status: number; }>[] = [];
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt) {
        pending.push(send(pending.length % entryCount));
        await sleep(requestMilliseconds);
    }
    return (await Promise.all(pending)).map(({ status }) => status);
}

async function countRequests(address: string): Promise<number> {
    const entries = await getJournal<{ readonly kind?: string; }>(address);
    return entries.length;
}

// An upstream in need states how many requests a second it takes from all entries together.
describe("the product's own interface", () => {
    // Guards against entries that each send what they like to a service that has told them how much it takes from all.
    it("keeps to the rate that a service states, for all entries together", async () => {
        await withProcesses(async group => {
            const site = await Site.start(group, {
                ...metroManila,
                prefix: "127.60.17",
                entryCount,
                services: { name: "label-app", count: upstreamCount },
            });
            const address = site.getUpstreamOrThrow("service-1").getAddress();
            const caller = new Caller();
            const send = (index: number) =>
                caller.callService({
                    entry: site.getEntryOrThrow(`entry-${1 + index}`).callerAddress,
                    key: getApiKey("commissary"),
                    pool: "label-app",
                    path: "/labels",
                    body: "a tray",
                });
            await setFaults(address, { statedPerSecond });
            await sendFor(settlingMilliseconds, send);
            const before = await countRequests(address);
            const statuses = await sendFor(countedMilliseconds, send);
            const counted = await countRequests(address) - before;
            expect(counted).toBeGreaterThan(0);
            expect(counted).toBeLessThanOrEqual(maxCounted);
            expect(statuses.every(status => status === 200)).toEqual(true);
            await setFaults(address, { statedPerSecond: 0 });
            await sendFor(settlingMilliseconds, send);
            const afterwards = await countRequests(address);
            await sendFor(settlingMilliseconds, send);
            expect(await countRequests(address) - afterwards).toBeGreaterThan(
                2 * statedPerSecond * settlingMilliseconds / 1_000,
            );
            await caller.close();
        });
    });

    // Guards against entries that each send what they like to an engine, and against prompts that wait where all engines are in need.
    it("keeps to the rate that engines state, and refuses at once what none of them takes", async () => {
        await withProcesses(async group => {
            const site = await Site.start(group, {
                ...metroManila,
                prefix: "127.60.18",
                entryCount,
                runners: { name: "lm-pool", count: upstreamCount, settings: { stepMilliseconds: 2 } },
            });
            const addresses = [...site.getUpstreams()].filter(([name]) => name.startsWith("runner"))
                .map(([, engine]) => engine.getAddress());
            const caller = new Caller();
            const send = (index: number) =>
                caller.chat({
                    entry: site.getEntryOrThrow(`entry-${1 + index}`).callerAddress,
                    key: getApiKey("commissary"),
                    model: "label-large@3",
                    text: "Which trays hold sesame?",
                    maxTokens: 2,
                });
            await waitUntil(async () => (await send(0)).status === 200, { description: "an answer" });
            for (const address of addresses) {
                await setFaults(address, { statedPerSecond });
            }
            await sendFor(settlingMilliseconds, send);
            const before = await Promise.all(addresses.map(countRequests));
            const statuses = await sendFor(countedMilliseconds, send);
            const after = await Promise.all(addresses.map(countRequests));
            for (const [index, count] of after.entries()) {
                expect(count - before[index]).toBeLessThanOrEqual(maxCounted);
            }
            expect(statuses.filter(status => status === 200).length).toBeGreaterThan(0);
            expect(statuses.filter(status => status === 503).length).toBeGreaterThan(0);
            await caller.close();
        });
    });
});
