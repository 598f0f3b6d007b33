import { expect } from "earl";
import { EventEmitter } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { MessageChannel } from "node:worker_threads";
import type { FetchStateReply, FetchStateRequest } from "../../src/generated/peer.js";
import { type NodeIdentity, PeerClient, type PeerHandlers, PeerServer } from "../../src/membership/index.js";
import { StateQueryStream } from "../../src/membership/stateQueryStream.js";
import { waitUntil } from "../../src/testbench/index.js";
import { createJournal } from "../fixtures/journals.js";
import { blockProcess } from "../fixtures/pauses.js";

const network = "127.50.16";
const timeoutMilliseconds = 400;
const cleanups: (() => Promise<unknown> | unknown)[] = [];

function createRequest(knownOffset: number): FetchStateRequest {
    return { stream: "topic", knownOffset, counter: 0, waitMilliseconds: 0, whole: false };
}

function createReply(offset: number): FetchStateReply {
    const state = Buffer.alloc(0);
    return { newer: false, offset, state, counter: 0, ageMilliseconds: 0, heldMilliseconds: 0, complete: true };
}

async function startServer(host: string, port: number, fetchState: PeerHandlers["fetchState"]): Promise<PeerServer> {
    const failUnexpectedCall = (): never => {
        throw new Error("unexpected call");
    };
    const handlers = {
        exchange: failUnexpectedCall,
        push: failUnexpectedCall,
        copyBills: failUnexpectedCall,
        relay: failUnexpectedCall,
        decideClaims: failUnexpectedCall,
        fetchState,
    };
    const server = new PeerServer({ address: host, port, handlers, journal: createJournal().journal });
    (await server.start())._unsafeUnwrap();
    cleanups.push(() => server.stop());
    return server;
}

function createClient(): PeerClient {
    const client = new PeerClient();
    cleanups.push(() => client.close());
    return client;
}

function createPeer(host: string, peerPort: number): NodeIdentity {
    return { id: host, address: host, peerPort, failureDomain: "north", region: "south" };
}

/**
 * Starts a TCP relay to a target. `stall` makes the connections that are open at that time drop all data without
 * closing.
 */
async function startRelay(host: string, target: { readonly host: string; readonly port: number; }) {
    const open = new Set<Socket>();
    const stalled = new Set<Socket>();
    const pipe = (from: Socket, to: Socket): void => {
        from.on("data", bytes => stalled.has(from) || to.write(bytes));
        from.on("error", () => {
            // The other side closed the connection.
        });
        open.add(from);
    };
    const server = createServer(socket => {
        const other = connect(target.port, target.host);
        pipe(socket, other);
        pipe(other, socket);
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    cleanups.push(() => {
        for (const socket of open) {
            socket.destroy();
        }
        server.close();
    });
    const address = server.address();
    const stall = (): void => {
        for (const socket of open) {
            stalled.add(socket);
        }
    };
    return { port: typeof address === "object" ? address?.port ?? 0 : 0, stall };
}

describe("StateQueryStream", () => {
    afterEach(async () => {
        for (const finish of cleanups.splice(0).reverse()) {
            await finish();
        }
    });

    it("matches each answer to its query, also when a later query is answered first", async () => {
        const host = `${network}.1`;
        await startServer(host, 7_100, async ({ knownOffset }) => {
            await new Promise(resolve => setTimeout(resolve, knownOffset === 1 ? 60 : 0));
            return createReply(knownOffset);
        });
        const client = createClient();
        const peer = createPeer(host, 7_100);
        const order: number[] = [];
        const answers = await Promise.all([1, 2, 3].map(async offset => {
            const answer = await client.followState(peer, createRequest(offset), timeoutMilliseconds);
            order.push(offset);
            return answer._unsafeUnwrap().offset;
        }));
        expect(answers).toEqual([1, 2, 3]);
        expect(order.at(-1)).toEqual(1);
    });

    it("fails only the query that the peer cannot answer", async () => {
        const host = `${network}.2`;
        await startServer(host, 7_100, ({ knownOffset }) => {
            if (knownOffset === 2) {
                throw new Error("The topic is unavailable.");
            }
            return createReply(knownOffset);
        });
        const client = createClient();
        const results = await Promise.all(
            [1, 2, 3].map(offset =>
                client.followState(createPeer(host, 7_100), createRequest(offset), timeoutMilliseconds)
            ),
        );
        expect(results.map(result => result.isOk())).toEqual([true, false, true]);
    });

    // Guards against a peer that is avoided for seconds since this node was paused while its answer arrived.
    it("takes an answer that arrived while the process was paused", async () => {
        const { port1, port2 } = new MessageChannel();
        const call = Object.assign(new EventEmitter(), { write: () => true, cancel: () => {} });
        const stream = new StateQueryStream({
            open: () => call as unknown as ReturnType<ConstructorParameters<typeof StateQueryStream>[0]["open"]>,
            onTimeout: () => {},
        });
        port2.on("message", () => call.emit("data", { id: 1, answer: createReply(7) }));
        // From here, timers run before what has arrived is read.
        await setImmediate();
        const answered = stream.query(createRequest(7), 20);
        port1.postMessage("answer");
        blockProcess(40);
        const result = await answered;
        port1.close();
        expect(result._unsafeUnwrap().offset).toEqual(7);
    });

    // Guards against refused keyed requests after a connection becomes unresponsive without a reset while new ones
    // work. A node that kept using it would receive no answer until the keepalive of the library closes it, seconds
    // after its state has become too old for keyed requests.
    it("queries on a new connection after an answer is overdue", async () => {
        const host = `${network}.3`;
        await startServer(host, 7_100, ({ knownOffset }) => createReply(knownOffset));
        const relay = await startRelay(`${network}.5`, { host, port: 7_100 });
        const peer = createPeer(`${network}.5`, relay.port);
        const client = createClient();
        expect((await client.followState(peer, createRequest(1), timeoutMilliseconds)).isOk()).toEqual(true);
        relay.stall();
        expect((await client.followState(peer, createRequest(2), timeoutMilliseconds)).isErr()).toEqual(true);
        // The keepalive of the library would close the connection only after seven seconds.
        const isAnswered = async (): Promise<boolean> =>
            (await client.followState(peer, createRequest(3), timeoutMilliseconds)).isOk();
        await waitUntil(isAnswered, { description: "an answer on a new connection", timeoutMilliseconds: 5_000 });
    });

    // Guards against delayed queries: a peer is killed and restarts on its address. Queries in flight must fail at
    // once, so that the node can query another peer.
    it("fails at once when the peer dies, and reconnects after its restart", async () => {
        const host = `${network}.6`;
        const first = await startServer(host, 7_100, () => new Promise<FetchStateReply>(() => undefined));
        const client = createClient();
        const peer = createPeer(host, 7_100);
        const pending = client.followState(peer, createRequest(1), 10_000);
        await new Promise(resolve => setTimeout(resolve, 100));
        await first.stop();
        expect((await pending).isErr()).toEqual(true);
        await startServer(host, 7_100, ({ knownOffset }) => createReply(knownOffset));
        const isBack = async (): Promise<boolean> =>
            (await client.followState(peer, createRequest(2), timeoutMilliseconds)).isOk();
        await waitUntil(isBack, { description: "an answer of the restarted peer" });
    });
});
