import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Caller, callJson, getApiKey, metroManila, ProcessGroup, Site, waitUntil } from "../../src/testbench/index.js";

const key = getApiKey("commissary");
const upstreams = ["runner-1", "runner-2", "service-1", "service-2"];
const cutEntry = "entry-1";
/** Time after which an entry has to serve its callers again. */
const settlingMilliseconds = 3_000;
const requestCount = 20;

// An entry loses the paths to all upstreams, while callers, the log and the other entries reach it as before.
describe("an entry that can reach no upstream", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    let site: Site;
    after(async () => {
        await caller.close();
        await group.killAll();
    });
    before(async () => {
        site = await Site.start(group, {
            ...metroManila,
            prefix: "127.60.19",
            entryCount: 3,
            hasProxiedLinks: true,
            runners: { name: "lm-pool", count: 2, settings: { stepMilliseconds: 2 } },
            services: { name: "label-app", count: 2 },
        });
        await waitUntil(async () => (await chat()).status === 200, { description: "an answer" });
    });

    function chat() {
        const entry = site.getEntryOrThrow(cutEntry).callerAddress;
        return caller.chat({ entry, key, model: "label-large@3", text: "Which trays hold sesame?", maxTokens: 2 });
    }

    function call() {
        const entry = site.getEntryOrThrow(cutEntry).callerAddress;
        return caller.callService({ entry, key, pool: "label-app", path: "/labels", body: "a tray" });
    }

    async function setFaults(faults: object): Promise<void> {
        for (const upstream of upstreams) {
            await site.setLinkFaults(cutEntry, upstream, faults);
        }
    }

    async function countServed(send: () => Promise<{ readonly status: number; }>): Promise<number> {
        let served = 0;
        for (let request = 0; request < requestCount; request += 1) {
            served += (await send()).status === 200 ? 1 : 0;
        }
        return served;
    }

    async function countAddresses(): Promise<number> {
        const address = site.getEntryOrThrow("entry-2").callerAddress;
        return (await callJson<{ addresses: unknown[]; }>({ address, path: "/v1/addresses" })).addresses.length;
    }

    // Guards against an entry that goes on to refuse its callers while the entries beside it could serve them.
    it("serves chats and calls through entries that do, and is not listed for callers meanwhile", async () => {
        await setFaults({ cut: true });
        await sleep(settlingMilliseconds);
        expect([await countServed(chat), await countServed(call)]).toEqual([requestCount, requestCount]);
        expect(await countAddresses()).toEqual(2);
        await setFaults({ cut: false });
        await waitUntil(async () => await countAddresses() === 3, { description: "all addresses" });
        expect([await countServed(chat), await countServed(call)]).toEqual([requestCount, requestCount]);
    });
});
