import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { Caller, getApiKey, metroManila, ProcessGroup, Site, waitUntil } from "../../src/testbench/index.js";

const callerTimeoutMilliseconds = 10_000;

describe("AttemptRunner at a deadline", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    let site: Site;

    before(async () => {
        site = await Site.start(group, {
            ...metroManila,
            prefix: "127.60.9",
            entryCount: 1,
            runners: { name: "lm-pool", count: 1, settings: { stepMilliseconds: 5 } },
            hasProxiedLinks: true,
            // Longer than the caller's timeout: only an entry that does not wait for the engine answers in time.
            entrySettings: { timing: { upstream_connect_timeout_ms: "30000" } },
        });
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    // The link to an engine freezes in the middle of a request. At the deadline the entry knows that there will be no
    // answer. If it waited for the engine to confirm the cancellation, the caller would get its final answer late or
    // not at all.
    it("gives the final answer without waiting for the cancellation", async () => {
        const [{ name, callerAddress: entry }] = site.getEntries();
        const key = getApiKey("commissary");
        const changes = [{ section: "workspace.commissary", key: "deadline_ms", value: "1500" }];
        await site.waitUntilApplied(await site.publish(changes));
        const requestChat = () =>
            caller.chat({
                entry,
                key,
                text: "Does the pastry hold sesame?",
                timeoutMilliseconds: callerTimeoutMilliseconds,
            });
        await waitUntil(async () => (await requestChat()).isComplete, { description: "a first answer" });
        await site.setLinkFaults(name, "runner-1", { freeze: true });
        const record = await requestChat();
        expect([record.status, record.outcome]).toEqual([504, "unknown"]);
        await site.setLinkFaults(name, "runner-1", { freeze: false });
        await waitUntil(async () => (await requestChat()).isComplete, {
            description: "an answer after the link is back",
        });
    });
});
