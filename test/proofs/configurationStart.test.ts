import { expect } from "earl";
import { describe, it } from "node:test";
import { type Change, createPublishRecord } from "../../src/configuration/index.js";
import { waitUntil } from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];

describe("Entries that all start at once while the log is slow", () => {
    const getProof = useProofSite("127.63.4");

    // Guards against outdated configuration after a restart of the whole site. The log returns its records slowly, page
    // by page. No entry has read the end of the stream, so none can receive newer state from another. If the entries
    // treated this as an outage of the log, they would serve with the tree of the first page, and a version that was
    // withdrawn later would answer callers.
    it("take no work before one has seen the end of the stream", async () => {
        const proof = getProof();
        const { site } = proof;
        const withdrawal = { section: "version.label-small@5", key: "status", value: "withdrawn" };
        for (let count = 0; count < 600; count += 1) {
            const publication = {
                author: "many",
                reason: "test",
                basedOn: count,
                changes: [createPrice(`6.${count}`)],
            };
            await appendWithRetries(proof, publication);
        }
        const withdrawn = await publishWithRetries(proof, [withdrawal]);
        await site.waitUntilApplied(withdrawn);
        await Promise.all(entries.map(entry => site.getEntryOrThrow(entry).process.kill()));
        for (const entry of entries) {
            await site.setLinkFaults(entry, "log", { delayMilliseconds: 400 });
        }
        await Promise.all(entries.map(entry => site.startEntry(entry)));
        const answered: (string | undefined)[] = [];
        await waitUntil(async () => {
            const replies = await Promise.all(entries.map(entry => requestChat(proof, entry, "label-small")));
            answered.push(...replies.map(reply => reply.version));
            const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
            return states.every(state => state.configurationOffset > withdrawn);
        }, { description: "all entries to have read the stream" });
        expect(answered.filter(version => version === "label-small@5")).toEqual([]);
    });
});

async function appendWithRetries(
    proof: ProofSite,
    publication: Parameters<typeof createPublishRecord>[0],
): Promise<void> {
    const record = createPublishRecord(publication, "many");
    await waitUntil(async () => {
        try {
            return await proof.site.append("config", record) >= 0;
        }
        catch {
            return false;
        }
    }, { description: "the log to append a record" });
}

/** Publishes changes. The log refuses records beyond its limit a second, which the ones before have used up. */
async function publishWithRetries({ site }: ProofSite, changes: readonly Change[]): Promise<number> {
    let offset: number | undefined;
    await waitUntil(async () => {
        try {
            offset = await site.publish(changes);
        }
        catch {
            return false;
        }
        return true;
    }, { description: "the log to append the publication" });
    return offset!;
}

function createPrice(price: string): Change {
    return { section: "version.label-large@3", key: "input_price", value: price };
}

function requestChat(proof: ProofSite, entry: string, model = "auto") {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: proof.key,
        model,
        text: "Which trays are ready?",
        maxTokens: 8,
        timeoutMilliseconds: 5000,
    });
}
