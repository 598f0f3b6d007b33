import { expect } from "earl";
import { describe, it } from "node:test";
import type { Change } from "../../src/configuration/index.js";
import { metroManila, setFaults, waitUntil } from "../../src/testbench/index.js";
import { ConfigurationWatch } from "./configurationWatch.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const maxAgeSeconds = 6;

describe("An entry that is cut off", () => {
    const getProof = useProofSite("127.63.5", {
        workspaces: metroManila.workspaces.map(workspace => ({
            ...workspace,
            settings: { ...workspace.settings, max_configuration_age_s: String(maxAgeSeconds) },
        })),
    });

    // A slow link, or one that is cut, between an entry and the log: callers of that entry would go on to meet a
    // withdrawn version long after all others stopped. It learns from its peers then.
    it("comes into force everywhere with the log healthy, slow, and away for a part of the entries", async () => {
        const proof = getProof();
        const { site } = proof;
        await measurePropagation(proof, "log healthy");
        for (const entry of entries) {
            await site.setLinkFaults(entry, "log", { delayMilliseconds: 300 });
        }
        await measurePropagation(proof, "log slow (300 ms each way)");
        for (const entry of entries) {
            await site.setLinkFaults(entry, "log", { delayMilliseconds: 0 });
        }
        await site.setLinkFaults("entry-1", "log", { cut: true });
        await measurePropagation(proof, "log away for one of three");
        await site.setLinkFaults("entry-2", "log", { cut: true });
        await measurePropagation(proof, "log away for two of three");
        for (const entry of entries) {
            await site.setLinkFaults(entry, "log", { cut: false });
        }
    });

    // Cut from the other entries alone, an entry has no news from them; the log still tells it everything.
    it("comes into force on an entry that is cut from its peers alone", async () => {
        const proof = getProof();
        await setPeerLinks(proof, "entry-2", { cut: true });
        const offset = await proof.site.publish([createPrice("4.1")]);
        await proof.site.waitUntilApplied(offset);
        await setPeerLinks(proof, "entry-2", { cut: false });
        await proof.site.waitUntilReady();
    });

    // Cut from the log and from its peers, an entry cannot know that a version was withdrawn. Without an end to its
    // trust in what it has, its callers would get answers of a bad version for as long as the cut lasts.
    it("keeps an entry that is cut from everything from taking new work, and only that one", async () => {
        const proof = getProof();
        const { site } = proof;
        const watch = new ConfigurationWatch(site, entries);
        const before = (await site.getStatus("entry-3")).configurationOffset;
        await setPeerLinks(proof, "entry-3", { cut: true });
        await site.setLinkFaults("entry-3", "log", { cut: true });
        const offset = await site.publish([{ section: "version.label-small@5", key: "status", value: "withdrawn" }]);
        await site.waitUntilApplied(offset, ["entry-1", "entry-2"]);
        const refused = await waitUntil(async () => {
            const reply = await requestChat(proof, "entry-3");
            return reply.status === 503 ? reply : undefined;
        }, { description: "entry-3 to refuse new work" });
        expect([refused.outcome, refused.problem?.includes("confirm its configuration")]).toEqual(["not-run", true]);
        expect((await site.getStatus("entry-3")).configurationOffset <= offset).toEqual(true);
        expect((await site.getStatus("entry-3")).configurationOffset >= before).toEqual(true);
        for (const entry of ["entry-1", "entry-2"]) {
            expect((await requestChat(proof, entry)).status).toEqual(200);
        }
        await setPeerLinks(proof, "entry-3", { cut: false });
        await site.setLinkFaults("entry-3", "log", { cut: false });
        await site.waitUntilApplied(offset);
        await waitUntil(async () => (await requestChat(proof, "entry-3")).status === 200, {
            description: "entry-3 to serve again",
        });
        expect(await watch.stop()).toEqual([]);
    });

    // The platform's log is away for everybody, for longer than entries may go without a word from it. Nothing can be
    // withdrawn meanwhile, so callers must not notice.
    it("goes on serving while the log is away for everybody", async () => {
        const proof = getProof();
        const { site } = proof;
        await setFaults(site.getPlatformAddress("log"), { outage: "drop" });
        try {
            await waitUntil(async () => {
                const ages = await Promise.all(
                    entries.map(async entry => (await site.getStatus(entry)).configurationAgeMilliseconds),
                );
                return Math.min(...ages) > (maxAgeSeconds + 0.5) * 1000;
            }, { description: "all entries to be without the log for long" });
            for (const entry of entries) {
                expect((await requestChat(proof, entry)).status).toEqual(200);
            }
        }
        finally {
            await setFaults(site.getPlatformAddress("log"), { outage: "none" });
        }
    });
});

function createPrice(price: string): Change {
    return { section: "version.label-large@3", key: "input_price", value: price };
}

/** Publishes a change and prints how long it took until it was in force on every entry. */
async function measurePropagation(proof: ProofSite, condition: string): Promise<void> {
    const startedAt = performance.now();
    const offset = await proof.site.publish([createPrice(`7.${Math.floor(startedAt)}`)]);
    await proof.site.waitUntilApplied(offset);
    console.log(`in force on 3 entries, ${condition}: ${Math.round(performance.now() - startedAt)} ms`);
}

async function setPeerLinks(proof: ProofSite, entry: string, faults: object): Promise<void> {
    for (const other of entries) {
        if (other !== entry) {
            await proof.site.setLinkFaults(entry, other, faults);
            await proof.site.setLinkFaults(other, entry, faults);
        }
    }
}

function requestChat(proof: ProofSite, entry: string) {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: proof.key,
        text: "Which trays are ready?",
        maxTokens: 8,
        timeoutMilliseconds: 5000,
    });
}
