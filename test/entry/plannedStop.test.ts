import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import {
    Caller,
    type ChatRecord,
    getApiKey,
    metroManila,
    ProcessGroup,
    type ServiceRecord,
    setFaults,
    Site,
    waitUntil,
} from "../../src/testbench/index.js";

/** Longer than the entry's timeout of a graceful shutdown. */
const workMilliseconds = 12_000;

// An entry is told to stop while upstreams are at work that will not end before its timeout.
describe("the product's own interface when the time to stop runs out", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    const key = getApiKey("commissary");
    let site: Site;
    let call: ServiceRecord;
    let stream: ChatRecord;

    before(async () => {
        site = await Site.start(group, {
            ...metroManila,
            prefix: "127.60.22",
            entryCount: 1,
            runners: { name: "lm-pool", count: 2 },
            services: { name: "label-app", count: 2 },
            entrySettings: { timing: { drain_timeout_ms: "500" } },
        });
        for (const [name, upstream] of site.getUpstreams()) {
            await setFaults(
                upstream.getAddress(),
                name.startsWith("service") ? { workMilliseconds } : { stepMilliseconds: 1_000 },
            );
        }
        const [process] = site.getEntries();
        const entry = process.callerAddress;
        let events = 0;
        const chat = caller.chat({
            entry,
            key,
            text: "Does the soy glaze hold sesame?",
            streamed: true,
            onProgress: count => events = count,
        });
        const called = caller.callService({ entry, key, pool: "label-app", path: "/labels", body: "a tray" });
        await waitUntil(() => events > 0, { description: "the begin of the stream" });
        const stopped = process.process.stop();
        [call, stream] = await Promise.all([called, chat]);
        expect(await stopped).toEqual(0);
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    // Guards against callers that lose their connection without a word.
    it("refuses a call that has no answer, and promises nothing about its run", () => {
        expect([call.status, call.outcome]).toEqual([503, "unknown"]);
    });

    it("says in a stream that it ends too early", () => {
        expect([stream.status, stream.isComplete, stream.problem]).toEqual([
            200,
            false,
            "The entry stops before the request can be answered. "
            + "Check its outcome, or resume its stream, at another address of GET /v1/addresses.",
        ]);
    });

    it("logs what it refuses", () => {
        const refused = site.getEntries()[0].process.getEvents().filter(({ name }) => name === "request-refused");
        expect(refused.map(({ kind, outcome }) => [kind, outcome])).toEqual([
            ["unavailable", "unknown"],
            ["unavailable", "unknown"],
        ]);
    });
});
