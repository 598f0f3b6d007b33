import { expect } from "earl";
import { describe, it } from "node:test";
import type { Change } from "../../src/configuration/index.js";
import { metroManila, setFaults, waitUntil } from "../../src/testbench/index.js";
import { ConfigurationWatch } from "./configurationWatch.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const maxAgeSeconds = 6;

describe("Configuration during network partitions", () => {
    const getProof = useProofSite("127.63.5", {
        workspaces: metroManila.workspaces.map(workspace => ({
            ...workspace,
            settings: { ...workspace.settings, max_configuration_age_s: String(maxAgeSeconds) },
        })),
    });

    // Guards against outdated configuration behind a slow or cut link to the log. Callers of such an entry would go on
    // getting answers of a withdrawn version long after all other entries have stopped using it. The entry must receive
    // the configuration from its peers.
    it("comes into force everywhere with the log healthy, slow, and unreachable for some entries", async () => {
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
        await measurePropagation(proof, "log unreachable for one of three");
        await site.setLinkFaults("entry-2", "log", { cut: true });
        await measurePropagation(proof, "log unreachable for two of three");
        for (const entry of entries) {
            await site.setLinkFaults(entry, "log", { cut: false });
        }
    });

    // Guards against a dependency on peers. An entry that is cut off from the other entries gets no updates from them,
    // but must still receive everything from the log.
    it("comes into force on an entry that is cut off from its peers only", async () => {
        const proof = getProof();
        await setPeerLinkFaults(proof, "entry-2", { cut: true });
        const offset = await proof.site.publish([createPrice("4.1")]);
        await proof.site.waitUntilApplied(offset);
        await setPeerLinkFaults(proof, "entry-2", { cut: false });
        await proof.site.waitUntilReady();
    });

    // Guards against the use of outdated configuration without a time limit. An entry that is cut off from the log and
    // its peers cannot detect that a version was withdrawn. Without a maximum age of its configuration, its callers
    // would get answers of a bad version for as long as the cut lasts.
    it("expires on an entry that is cut off from everything, which refuses new work while the others serve", async () => {
        const proof = getProof();
        const { site } = proof;
        const watch = new ConfigurationWatch(site, entries);
        const previousOffset = (await site.getStatus("entry-3")).configurationOffset;
        await setPeerLinkFaults(proof, "entry-3", { cut: true });
        await site.setLinkFaults("entry-3", "log", { cut: true });
        const offset = await site.publish([{ section: "version.label-small@5", key: "status", value: "withdrawn" }]);
        await site.waitUntilApplied(offset, ["entry-1", "entry-2"]);
        const refused = await waitUntil(async () => {
            const reply = await requestChat(proof, "entry-3");
            return reply.status === 503 ? reply : undefined;
        }, { description: "entry-3 to refuse new work" });
        expect([refused.outcome, refused.problem?.includes("confirm its configuration")]).toEqual(["not-run", true]);
        expect((await site.getStatus("entry-3")).configurationOffset <= offset).toEqual(true);
        expect((await site.getStatus("entry-3")).configurationOffset >= previousOffset).toEqual(true);
        for (const entry of ["entry-1", "entry-2"]) {
            expect((await requestChat(proof, entry)).status).toEqual(200);
        }
        await setPeerLinkFaults(proof, "entry-3", { cut: false });
        await site.setLinkFaults("entry-3", "log", { cut: false });
        await site.waitUntilApplied(offset);
        await waitUntil(async () => (await requestChat(proof, "entry-3")).status === 200, {
            description: "entry-3 to serve again",
        });
        expect(await watch.stop()).toEqual([]);
    });

    // Guards against refusals during an outage of the log. The log is unavailable to all entries for longer than the
    // maximum age of a configuration. Nothing can be withdrawn during that time, so callers must not notice the outage.
    it("stays in force while the log is unavailable to all entries", async () => {
        const proof = getProof();
        const { site } = proof;
        await setFaults(site.getPlatformAddress("log"), { outage: "drop" });
        try {
            await waitUntil(async () => {
                const ages = await Promise.all(
                    entries.map(async entry => (await site.getStatus(entry)).configurationAgeMilliseconds),
                );
                return Math.min(...ages) > (maxAgeSeconds + 0.5) * 1000;
            }, { description: "all entries to be without the log for longer than the maximum age" });
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

/** Publishes a change and logs the time until it is in force on every entry. */
async function measurePropagation(proof: ProofSite, condition: string): Promise<void> {
    const startedAt = performance.now();
    const offset = await proof.site.publish([createPrice(`7.${Math.floor(startedAt)}`)]);
    await proof.site.waitUntilApplied(offset);
    console.log(`in force on 3 entries, ${condition}: ${Math.round(performance.now() - startedAt)} ms`);
}

async function setPeerLinkFaults(proof: ProofSite, entry: string, faults: object): Promise<void> {
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
