import { expect } from "earl";
import { createServer, type Server as TcpServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { BillReplicaStore, BillWriter, getBillCopyTargets, handleCopyBills } from "../../src/bills/index.js";
import { createRemoteDecider, handleDecideClaims } from "../../src/claims/index.js";
import { type Credentials, RandomSource, systemClock } from "../../src/common/index.js";
import {
    Gossip,
    type Member,
    Membership,
    type NodeIdentity,
    PeerClient,
    type PeerHandlers,
    PeerServer,
} from "../../src/membership/index.js";
import type { Vm } from "../../src/world/index.js";
import { createBill } from "../fixtures/bills.js";
import { readTestCredentials } from "../fixtures/certificates.js";
import { createClaimNode } from "../fixtures/claimNodes.js";
import { createJournal } from "../fixtures/journals.js";
import { MemoryLog } from "../fixtures/memoryLog.js";
import { waitUntil } from "../fixtures/waiting.js";

const network = "127.50.5";
const emptyPush = { sender: "b", items: [], counter: 0, hops: 0, bases: [] };
const cleanups: (() => Promise<unknown> | unknown)[] = [];

function createIdentity(id: string, host: number, peerPort: number): NodeIdentity {
    return { id, address: `${network}.${host}`, peerPort, failureDomain: `domain-${host}`, region: "manila" };
}

function createHandlers(changes: Partial<PeerHandlers> = {}): PeerHandlers {
    return {
        exchange: () => {
            throw new Error("unexpected call");
        },
        push: () => ({ counter: 7 }),
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
        ...changes,
    };
}

async function startServer(
    host: number,
    handlers: PeerHandlers,
    credentials?: Credentials,
): Promise<{ server: PeerServer; identity: NodeIdentity; }> {
    const address = `${network}.${host}`;
    const server = new PeerServer({ address, port: 0, handlers, journal: createJournal().journal, credentials });
    const port = (await server.start())._unsafeUnwrap();
    cleanups.push(() => server.stop());
    return { server, identity: createIdentity(`entry-${host}`, host, port) };
}

function createClient(credentials?: Credentials, deadlineMilliseconds?: number): PeerClient {
    const client = new PeerClient({ credentials, deadlineMilliseconds });
    cleanups.push(() => client.close());
    return client;
}

describe("PeerClient", () => {
    afterEach(async () => {
        for (const finish of cleanups.splice(0).reverse()) {
            await finish();
        }
    });

    describe("push", () => {
        it("returns the reply of the peer", async () => {
            const { identity } = await startServer(1, createHandlers());
            expect((await createClient().push(identity, emptyPush))._unsafeUnwrap()).toEqual({ counter: 7 });
        });

        it("fails when the handler of the peer fails, and the peer keeps running", async () => {
            const { identity } = await startServer(1, createHandlers());
            const client = createClient();
            const exchanged = await client.exchange(identity, {
                sender: "b",
                oldestProtocol: 1,
                newestProtocol: 1,
                digest: [],
                items: [],
                counter: 0,
                origins: [],
                heartbeats: [],
                versions: [],
            });
            expect(exchanged.isErr()).toEqual(true);
            expect((await client.push(identity, emptyPush)).isOk()).toEqual(true);
        });

        // Guards against calls that never end. A peer is frozen, or a switch drops its packets: connections open, but
        // no answer arrives. Without a deadline, the caller would wait for as long as the peer is frozen.
        it("ends at its deadline when the peer never answers", async () => {
            const sockets = new Set<Socket>();
            const unresponsiveServer: TcpServer = createServer(socket => sockets.add(socket));
            await new Promise<void>(resolve => unresponsiveServer.listen(0, `${network}.2`, resolve));
            cleanups.push(() => {
                for (const socket of sockets) {
                    socket.destroy();
                }
                unresponsiveServer.close();
            });
            const address = unresponsiveServer.address();
            const port = typeof address === "object" ? address?.port ?? 0 : 0;
            const pushed = await createClient(undefined, 150).push(createIdentity("x", 2, port), emptyPush);
            expect(pushed._unsafeUnwrapErr().kind).toEqual("unavailable");
        });

        // Guards against a long backoff after a restart: a peer is replaced on its address and port, and the client
        // must reconnect soon.
        it("reaches a peer that was restarted on the same port", async () => {
            const first = await startServer(3, createHandlers());
            const client = createClient();
            expect((await client.push(first.identity, emptyPush)).isOk()).toEqual(true);
            await first.server.stop();
            expect((await client.push(first.identity, emptyPush)).isOk()).toEqual(false);
            const { address, peerPort } = first.identity;
            const second = new PeerServer({
                address,
                port: peerPort,
                handlers: createHandlers(),
                journal: createJournal().journal,
            });
            expect((await second.start()).isOk()).toEqual(true);
            cleanups.push(() => second.stop());
            await waitUntil(async () => (await client.push(first.identity, emptyPush)).isOk(), "the peer answers");
        });
    });

    describe("setCredentials", () => {
        it("accepts peers of the same authority and rejects others", async () => {
            const { identity } = await startServer(1, createHandlers(), readTestCredentials("site-first"));
            const cases: [Credentials | undefined, boolean][] = [
                [readTestCredentials("site-second"), true],
                [readTestCredentials("other-first"), false],
                // Trusts the authority of this site, but presents a certificate of another one.
                [
                    { ...readTestCredentials("other-first"), authority: readTestCredentials("site-first").authority },
                    false,
                ],
                [undefined, false],
            ];
            for (const [credentials, isAccepted] of cases) {
                const pushed = await createClient(credentials, 1_000).push(identity, emptyPush);
                expect(pushed.isOk()).toEqual(isAccepted);
            }
        });

        // Guards against connections that fail when certificates expire, which happens every few weeks. Both sides must
        // use renewed ones while they run. Here the authority changes too, so a connection with the old certificates
        // would be refused.
        it("renews the credentials of both sides without a restart", async () => {
            const { server, identity } = await startServer(1, createHandlers(), readTestCredentials("site-first"));
            const client = createClient(readTestCredentials("site-second"));
            expect((await client.push(identity, emptyPush)).isOk()).toEqual(true);
            server.setCredentials(readTestCredentials("other-first"));
            client.setCredentials(readTestCredentials("other-first"));
            await waitUntil(
                async () => (await client.push(identity, emptyPush)).isOk(),
                "the renewed credentials are used",
            );
            const old = await createClient(readTestCredentials("site-second"), 1_000).push(identity, emptyPush);
            expect(old.isOk()).toEqual(false);
        });
    });
});

describe("peer calls between entries", () => {
    afterEach(async () => {
        for (const finish of cleanups.splice(0).reverse()) {
            await finish();
        }
    });

    it("carry gossip, so that members find each other", async () => {
        const vms: Vm[] = [];
        const memberships: Membership[] = [];
        for (const host of [11, 12, 13]) {
            const gossips: Gossip[] = [];
            const { identity } = await startServer(
                host,
                createHandlers({
                    exchange: request => gossips[0].handleExchange(request),
                    push: request => ({ counter: gossips[0].handlePush(request) }),
                }),
            );
            const { journal } = createJournal(identity.id);
            const gossip = new Gossip({
                self: identity,
                clock: systemClock,
                random: new RandomSource(host),
                journal,
                transport: createClient().createGossipTransport(),
                periodMilliseconds: 20,
                maxValueBytesPerMessage: 8_000,
            });
            gossips.push(gossip);
            memberships.push(new Membership({ self: identity, gossip, clock: systemClock, journal }));
            vms.push({ ...identity, port: 1, role: "entry", pool: "", state: "live" });
            cleanups.push(() => gossip.stop());
            gossip.start();
        }
        for (const membership of memberships) {
            membership.setVms(vms);
        }
        const areAllAlive = () => memberships.every(membership => membership.getAlive().length === vms.length);
        await waitUntil(areAllAlive, "all members see each other");
        memberships[0].announceLeaving();
        const isLeaving = () => memberships.every(membership => membership.get("entry-11")?.state === "leaving");
        await waitUntil(isLeaving, "all members see that one is leaving");
    });

    it("carry claims to the collector and return its decisions", async () => {
        const log = new MemoryLog();
        const collector = createClaimNode({ log, name: "collector" });
        cleanups.push(() => collector.stop());
        const { identity } = await startServer(
            21,
            createHandlers({ decideClaims: request => handleDecideClaims(collector.pool, request, () => 0) }),
        );
        const decideRemotely = createRemoteDecider({
            self: "asker",
            membership: { getCollector: () => identity as Member },
            client: createClient(),
            getCounter: () => 0,
        });
        const operation = { kind: "claim", id: "c1", key: "run:w/k", value: "r1" } as const;
        const decisions = [];
        for (const id of ["c1", "c2"]) {
            decisions.push((await decideRemotely(0, { ...operation, id, value: id }))?.decision?.verdict);
        }
        await decideRemotely(0, { ...operation, kind: "complete", outcome: "printed" });
        const last = await decideRemotely(0, { ...operation, id: "c3" });
        expect(decisions).toEqual(["granted", "held"]);
        expect(last?.decision?.outcome).toEqual("printed");
        expect(await decideRemotely(99, operation)).toEqual({ id: "c1", mayHaveTakenEffect: false });
    });

    it("carry replicas of bills to a peer in another failure domain", async () => {
        const log = new MemoryLog();
        const { journal } = createJournal();
        const base = { append: log.append, clock: systemClock, journal };
        const replicaStore = new BillReplicaStore({ ...base, writer: "holder", hasDeparted: () => false });
        const handlers = createHandlers({ copyBills: request => handleCopyBills(replicaStore, request, () => 0) });
        const { identity } = await startServer(31, handlers);
        const self = createIdentity("entry-a", 32, 1);
        const sameDomainMember = { ...createIdentity("near", 33, 1), failureDomain: self.failureDomain };
        const members = [self, sameDomainMember, identity].map(node => node as Member);
        const client = createClient();
        const options = { self, membership: { getAlive: () => members }, client, getCounter: () => 0 };
        expect(getBillCopyTargets(options).map(target => target.id)).toEqual([identity.id]);
        const writer = new BillWriter({
            ...base,
            writer: "entry-a",
            getCopyTargets: () => getBillCopyTargets(options),
        });
        expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
        expect(replicaStore.getSize()).toEqual(1);
        expect((await writer.flush(1_000)).isOk()).toEqual(true);
        await waitUntil(() => replicaStore.getSize() === 0, "the replica was removed");
    });
});
