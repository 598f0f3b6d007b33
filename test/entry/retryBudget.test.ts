import { expect } from "earl";
import { describe, it } from "node:test";
import {
    Caller,
    type ChatRecord,
    getApiKey,
    metroManila,
    readEngineRuns,
    setFaults,
    Site,
    withProcesses,
} from "../../src/testbench/index.js";

const requestCount = 120;
/** Number of retries in a full budget. */
const burst = 10;

describe("AttemptRunner", () => {
    // A version fails many of its requests. Retries on other runners help some callers. If every failure were retried
    // without a limit, the runners would get three times the work while they are already failing. If first attempts did
    // not refill the budget, an entry would stop retrying for good after its first ten retries.
    it("retries more than the burst over time, but no more than first attempts refill", async () => {
        await withProcesses(async group => {
            const site = await Site.start(group, {
                ...metroManila,
                prefix: "127.60.3",
                entryCount: 1,
                runners: { name: "lm-pool", count: 4, settings: { stepMilliseconds: 2 } },
            });
            for (const [name, upstream] of site.getUpstreams()) {
                if (name.startsWith("runner")) {
                    await setFaults(upstream.getAddress(), { version: "label-large@3", errorRate: 0.5 });
                }
            }
            const caller = new Caller();
            const records: ChatRecord[] = [];
            for (let count = 0; count < requestCount; count += 1) {
                records.push(
                    await caller.chat({
                        entry: site.getEntryOrThrow("entry-1").callerAddress,
                        key: getApiKey("commissary"),
                        model: "label-large@3",
                        text: "Which trays hold sesame?",
                        maxTokens: 4,
                    }),
                );
            }
            await caller.close();
            const firstAttempts = records.filter(record => record.outcome !== "not-run").length;
            const retries = (await readEngineRuns(site)).length - firstAttempts;
            expect(retries).toBeGreaterThan(burst);
            expect(retries).toBeLessThan(burst + requestCount / 10 + 1);
        });
    });
});
