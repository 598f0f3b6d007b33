import { expect } from "earl";
import { describe, it } from "node:test";
import type { FetchStateReply } from "../../src/generated/peer.js";
import { PeerClient } from "../../src/membership/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const oldest = 1;

describe("A member of an older protocol", () => {
    const getProof = useProofSite("127.63.14");

    // Entries are replaced one after another, and an operator uses what only the newer release knows. An older entry
    // without the log asks its peers; handed a tree that it cannot read, it would hold another one than the rest.
    it("is handed no tree that it cannot read, beside one of the newer protocol that is", async () => {
        const proof = getProof();
        const section = "pool.lm-pool";
        const readable = await fetchState(proof, oldest);
        expect([readable.newer, readFormat(readable)]).toEqual([true, oldest]);
        await proof.site.waitUntilApplied(await proof.site.publish([{ section, key: "orders", value: "false" }]));
        const withheld = await fetchState(proof, oldest);
        expect([withheld.newer, withheld.state.length]).toEqual([false, 0]);
        const newer = await fetchState(proof, undefined);
        expect([newer.newer, readFormat(newer)]).toEqual([true, oldest + 1]);
        await proof.site.waitUntilApplied(await proof.site.publish([{ section, key: "*" }]));
        expect((await fetchState(proof, oldest)).newer).toEqual(true);
    });
});

/** Asks a real entry for its configuration, as a member that reads a protocol up to a version. */
async function fetchState(proof: ProofSite, newestProtocol: number | undefined): Promise<FetchStateReply> {
    const [address, port] = proof.site.getEntryOrThrow("entry-1").callerAddress.split(":");
    const client = new PeerClient({ newestProtocol });
    const peer = { id: "entry-1", address, peerPort: Number(port) + 1 };
    const reply = await client.fetchState(peer, {
        stream: "config",
        knownOffset: 0,
        counter: 0,
        waitMilliseconds: 0,
        whole: false,
    });
    client.close();
    return reply._unsafeUnwrap();
}

function readFormat(reply: FetchStateReply): number {
    return (JSON.parse(Buffer.from(reply.state).toString()) as { state: { format: number; }; }).state.format;
}
