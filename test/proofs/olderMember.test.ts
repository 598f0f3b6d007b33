import { expect } from "earl";
import { describe, it } from "node:test";
import type { FetchStateReply } from "../../src/generated/peer.js";
import { PeerClient } from "../../src/membership/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const oldest = 1;

describe("A member of an older protocol", () => {
    const getProof = useProofSite("127.63.14");

    // Guards against trees that an older member cannot read. During an upgrade, an operator uses a setting that only
    // the newer release supports. An older entry that cannot reach the log fetches the tree from its peers. If it
    // received a tree in the newer format, it would apply another tree than the other entries.
    it("receives no tree that it cannot read, while a member of the newer protocol does", async () => {
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

/** Fetches the configuration from a real entry as a member whose newest supported protocol is given. */
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
