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
    withProcesses,
} from "../../src/testbench/index.js";

const entryCount = 3;
const upstreamCount = 3;
const restSeconds = 3;
const requestMilliseconds = 15;
/** Answers of an upstream that are on their way when an entry is asked for rest. */
const maxRejectionsPerEntry = 2;

// An upstream asks an entry for rest as it rejects a request.
describe("the product's own interface before an upstream that asks for rest", () => {
    // Guards against entries that go on sending calls to a service that has asked them for rest, and turn its rejections into answers.
    it("sends it nothing until the rest is over, and uses it again afterwards", async () => {
        await withProcesses(async group => {
            const site = await Site.start(group, {
                ...metroManila,
                prefix: "127.60.19",
                entryCount,
                services: { name: "label-app", count: upstreamCount },
            });
            const address = site.getUpstreamOrThrow("service-1").getAddress();
            const caller = new Caller();
            const sendFor = async (milliseconds: number): Promise<readonly number[]> => {
                const pending: Promise<{ readonly status: number; }>[] = [];
                const endsAt = performance.now() + milliseconds;
                while (performance.now() < endsAt) {
                    pending.push(caller.callService({
                        entry: site.getEntryOrThrow(`entry-${1 + pending.length % entryCount}`).callerAddress,
                        key: getApiKey("commissary"),
                        pool: "label-app",
                        path: "/labels",
                        body: "a tray",
                    }));
                    await sleep(requestMilliseconds);
                }
                return (await Promise.all(pending)).map(({ status }) => status);
            };
            const countRejections = async (): Promise<number> => {
                const entries = await getJournal<{ readonly rejectedAt?: number; }>(address);
                return entries.filter(({ rejectedAt }) => rejectedAt !== undefined).length;
            };
            await sendFor(500);
            await setFaults(address, { restSeconds });
            const statuses = await sendFor((restSeconds - 0.5) * 1_000);
            const rejections = await countRejections();
            expect(rejections).toBeGreaterThan(0);
            expect(rejections).toBeLessThanOrEqual(maxRejectionsPerEntry * entryCount);
            expect(statuses.filter(status => status !== 200).length).toEqual(rejections);
            await setFaults(address, { restSeconds: 0 });
            await sendFor(restSeconds * 1_000);
            const before = (await getJournal(address)).length;
            await sendFor(500);
            expect((await getJournal(address)).length).toBeGreaterThan(before);
            await caller.close();
        });
    });
});
