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

/** An answer takes 25 tokens at least, so its wait is far above the bound of 0.9 s for the first token. */
const stepMilliseconds = 60;

describe("ChatPipeline before slow engines", () => {
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

    /** Returns the requests whose plan has more than one version, as the entry's events tell them. */
    function getCascades(): readonly string[] {
        const planned = site.getEntryOrThrow("entry-1").process.getEvents()
            .filter(line => line.event === events.requestPlanned.number && String(line.versions).includes(","));
        return planned.map(line => String(line.request));
    }

    // A cheap answer takes seconds, and a cascade holds it back until it is whole and rated. A caller that reads along
    // waited for its first token for those seconds, with idle engines; one that takes a document waits for the end anyhow.
    it("takes a streaming caller through no cascade, and others through those that save cost", async () => {
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
