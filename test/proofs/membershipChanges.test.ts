import { expect } from "earl";
import { after, describe, it } from "node:test";
import { RandomSource, systemClock } from "../../src/common/index.js";
import { Journal } from "../../src/events/index.js";
import { Gossip, Membership, PeerClient, PeerServer } from "../../src/membership/index.js";
import { callJson, getApiKey, type Site, waitUntil } from "../../src/testbench/index.js";
import type { Vm } from "../../src/world/index.js";
import { print, type ProofSite, useProofSite } from "./fixtures.js";

const network = "127.63.6";
// Depends on the process, like the ports of the site, so that two runs can run in parallel.
const oldPeerPort = 10_000 + process.pid % 20_000;
/** Older than any that entries presume of a member from which they have not heard yet. */
const oldProtocol = 0;

describe("Membership", () => {
    const getProof = useProofSite(network, { hasProxiedLinks: false });
    const cleanups: (() => unknown)[] = [];
    after(async () => {
        for (const cleanup of cleanups) {
            await cleanup();
        }
    });

    // Guards against a new VM that is mistaken for its predecessor on the same address. If other entries attributed the
    // predecessor's state to it, its configuration would look older or newer than it is, and its bills would be dropped.
    it("treats a VM that replaces another one on the same address as a new member", async () => {
        const proof = getProof();
        const { site } = proof;
        const old = site.getEntryOrThrow("entry-3");
        const replaced = await site.replaceEntry("entry-3", "entry-4");
        expect(replaced.callerAddress).toEqual(old.callerAddress);
        await site.waitUntilReady();
        const offset = await site.publish([{ section: "version.label-large@3", key: "input_price", value: "9" }]);
        await site.waitUntilApplied(offset);
        for (const entry of ["entry-1", "entry-2", "entry-4"]) {
            const { members } = await site.getStatus(entry);
            expect(members.map(member => `${member.id} ${member.state}`).sort()).toEqual([
                "entry-1 alive",
                "entry-2 alive",
                "entry-4 alive",
            ]);
            const record = await print(proof, entry, `replaced-${entry}`);
            expect(record.record.status).toEqual(200);
        }
    });

    // Guards against records that older members cannot read. During an upgrade, entries are replaced one after another.
    // If a new entry wrote a record that an old one cannot read, the old one would skip it or stop, and the two would
    // disagree about the holder of a key or a lease.
    it("keeps records out of the log that a member of an older protocol cannot read", async () => {
        const proof = getProof();
        const { site } = proof;
        const entries = site.getEntries().map(entry => entry.name);
        const vm = createOldVm();
        cleanups.push(...await startOldMember(site, vm));
        const list = site.getPlatformAddress("vm-list");
        await callJson({ address: list, path: `/vms/${vm.id}`, method: "PUT", body: vm });
        await waitUntil(async () => {
            const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
            return states.every(({ members, commonProtocol }) =>
                commonProtocol === oldProtocol
                && members.some(member => member.id === vm.id && member.state === "alive")
            );
        }, { description: "all entries to report the old member as alive, and to know its protocol" });
        await waitUntil(async () => {
            const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
            return states.every(state => !state.holdsLease);
        }, { description: "leases to expire, since they cannot be renewed" });
        const recordCount = await countRecords(site);
        for (const entry of entries) {
            const refused = await print(proof, entry, `mixed-${entry}`);
            expect([refused.record.status, refused.record.outcome]).toEqual([503, "not-run"]);
            expect((await requestChat(proof, entry)).status).toEqual(200);
        }
        expect(await countRecords(site)).toEqual(recordCount);
        await callJson({ address: list, path: `/vms/${vm.id}`, method: "DELETE" });
        for (const entry of entries) {
            await waitUntil(async () => (await print(proof, entry, `mixed-${entry}`)).record.status === 200, {
                description: `${entry} to write again`,
            });
        }
        await waitUntil(async () => (await site.readBills()).size >= entries.length, {
            description: "the bills to be written",
        });
    });
});

function createOldVm(): Vm {
    return {
        id: "entry-old",
        address: `${network}.150`,
        port: oldPeerPort + 1,
        peerPort: oldPeerPort,
        role: "entry",
        pool: "",
        failureDomain: "taguig",
        region: "metro-manila",
        state: "live",
    };
}

/** Starts a member that gossips and supports only the old protocol. */
async function startOldMember(site: Site, vm: Vm): Promise<readonly (() => unknown)[]> {
    const self = { ...vm, peerPort: oldPeerPort };
    const journal = new Journal({ process: vm.id, clock: systemClock, write: () => undefined });
    const client = new PeerClient({});
    const gossip = new Gossip({
        self,
        clock: systemClock,
        random: new RandomSource(1),
        journal,
        transport: client.createGossipTransport(),
        periodMilliseconds: 100,
        maxValueBytesPerMessage: 65_536,
    });
    const protocol = { oldest: oldProtocol, newest: oldProtocol };
    const membership = new Membership({ self, gossip, clock: systemClock, journal, protocol });
    const { vms } = await callJson<{ vms: readonly Vm[]; }>({
        address: site.getPlatformAddress("vm-list"),
        path: "/vms",
    });
    membership.setVms([...vms, vm]);
    const server = new PeerServer({
        address: self.address,
        port: self.peerPort,
        journal,
        handlers: {
            exchange: gossip.handleExchange.bind(gossip),
            push: request => ({ counter: gossip.handlePush(request) }),
            copyBills: () => ({ kept: [], counter: 0 }),
            decideClaims: () => ({ decisions: [], counter: 0 }),
            fetchState: () => ({
                newer: false,
                offset: 0,
                state: Buffer.alloc(0),
                counter: 0,
                ageMilliseconds: 0,
                heldMilliseconds: 0,
                complete: true,
            }),
            relay: () => {
                throw new Error("unexpected call");
            },
        },
    });
    (await server.start())._unsafeUnwrap();
    gossip.start();
    return [() => gossip.stop(), () => client.close(), () => server.stop()];
}

/** Counts the records in all streams of the log. */
async function countRecords(site: Site): Promise<number> {
    const journal = await callJson<readonly object[]>({
        address: site.getPlatformAddress("log"),
        path: "/journal?from=0",
    });
    return journal.length;
}

function requestChat(proof: ProofSite, entry: string) {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: getApiKey("commissary"),
        text: "Which trays are ready?",
        maxTokens: 8,
        timeoutMilliseconds: 5000,
    });
}
