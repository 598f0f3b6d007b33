import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { events } from "../../src/events/index.js";
import {
    Caller,
    type ChatRecord,
    getApiKey,
    metroManila,
    ProcessGroup,
    Site,
    waitUntil,
} from "../../src/testbench/index.js";

/** An answer takes at least 25 tokens, so it takes far longer than the target of 0.9 s for the first token. */
const stepMilliseconds = 60;

describe("ChatPipeline with slow engines", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    let site: Site;

    before(async () => {
        site = await Site.start(group, {
            ...metroManila,
            prefix: "127.60.7",
            entryCount: 2,
            runners: { ...metroManila.runners, settings: { stepMilliseconds } },
        });
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    function requestChat(streamed: boolean): Promise<ChatRecord> {
        return caller.chat({
            entry: site.getEntryOrThrow("entry-1").callerAddress,
            key: getApiKey("compliance"),
            model: "auto",
            text: "Declare the allergens of the pandan cake.",
            requestClass: "allergen",
            streamed,
            timeoutMilliseconds: 30_000,
        });
    }

    /** Returns the requests whose plan has more than one version, according to the entry's events. */
    function getCascades(): readonly string[] {
        const planned = site.getEntryOrThrow("entry-1").process.getEvents()
            .filter(line => line.event === events.requestPlanned.number && String(line.versions).includes(","));
        return planned.map(line => String(line.request));
    }

    // With slow engines a cheap answer takes seconds, and a cascade buffers it until it is complete and rated. A
    // streaming caller would wait that long for its first token while engines are idle. A caller that receives a
    // document waits for the end in any case.
    it("runs no cascades for a streaming caller, and those that save cost for others", async () => {
        const streamedIds = new Set<string>();
        const countCascades = () => getCascades().filter(id => !streamedIds.has(id)).length;
        await waitUntil(async () => {
            const records = await Promise.all([true, false, true, false].map(streamed => requestChat(streamed)));
            for (const record of [records[0], records[2]]) {
                streamedIds.add(record.requestId ?? "");
            }
            return countCascades() >= 3;
        }, { description: "three documents by cascades", timeoutMilliseconds: 90_000 });
        expect(getCascades().filter(id => streamedIds.has(id))).toEqual([]);
    });
});
