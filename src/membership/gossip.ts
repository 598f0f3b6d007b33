/**
 * Distributes small values that each node publishes about itself to all nodes.
 *
 * In every period, a node picks one random peer, and both bring each other up to date within a limit of bytes. Urgent
 * values are also pushed at once: each receiver forwards them to a few more peers, for a limited number of hops. Nodes
 * that no push reaches receive these values in later exchanges.
 */
import type { Clock, RandomSource } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { ExchangeReply, ExchangeRequest, Item, PushRequest } from "../generated/peer.js";
import type { Vm } from "../world/index.js";
import { decodeDigest, encodeDigest } from "./gossipMessages.js";
import { GossipPartners } from "./gossipPartners.js";
import { type DigestLine, GossipState } from "./gossipState.js";
import { getMaxValueBytes, getPeriod, getPropagationTime, getSuspicionTimeout } from "./gossipTiming.js";
import { OwnValues } from "./ownValues.js";
import type { GossipTransport, NodeIdentity, PeerAddress } from "./peerAddress.js";
import { newestProtocol, oldestProtocol } from "./protocol.js";
import { shuffle } from "./shuffle.js";
import { UnreachablePeers } from "./unreachablePeers.js";

const pushFanOut = 4;
const pushHops = 7;
/** Key under which a node publishes which peers did not answer it. */
const unreachableKey = "unreachable";
/** An origin that was removed from the VM list is retained until its heartbeat is this old. */
const originRetentionMilliseconds = 60_000;

/** Receives a value that is new to this node. The value is undefined when its origin removed it. */
export type GossipListener = (origin: string, key: string, value: Buffer | undefined) => void;

/** How a value reaches other nodes sooner than by exchanges. */
export interface PublishOptions {
    /** Whether it is pushed at once, and forwarded until all nodes have it. */
    readonly urgent?: boolean;
    /** Nodes to which it is sent at once. They do not forward it. */
    readonly recipients?: readonly string[];
}

/** Options of gossip. */
export interface GossipOptions {
    readonly self: NodeIdentity;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly journal: Journal;
    readonly transport: GossipTransport;
    readonly periodMilliseconds: number;
    /** Maximum bytes of values in one message, without the digest. Large sites send less. */
    readonly maxValueBytesPerMessage: number;
}

/** Publishes the values of this node and receives those of the others. */
export class Gossip {
    readonly #options: GossipOptions;
    readonly #state = new GossipState();
    readonly #listeners: GossipListener[] = [];
    #peers: ReadonlyMap<string, PeerAddress> = new Map();
    readonly #partners: GossipPartners;
    readonly #unreachablePeers = new UnreachablePeers();
    readonly #ownValues: OwnValues;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: GossipOptions) {
        this.#options = options;
        this.#partners = new GossipPartners({
            self: options.self.id,
            clock: options.clock,
            random: options.random,
            getHeartbeatAge: peer => this.getHeartbeatAge(peer),
            getSuspicionTimeout: () => this.getSuspicionTimeoutMilliseconds(),
            getPeriod: () => this.getPeriodMilliseconds(),
        });
        this.#ownValues = new OwnValues({ self: options.self.id, clock: options.clock, state: this.#state });
    }

    /** Starts periodic exchanges. */
    start(): void {
        this.#schedule();
    }

    /** Stops periodic exchanges. */
    stop(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
    }

    /**
     * Adds a listener for values of other nodes.
     * @param listener - Called once for each newer value.
     */
    onUpdate(listener: GossipListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Publishes a value of this node.
     * @param key - Its key.
     * @param value - The value.
     * @param options - How it reaches others sooner than by exchanges.
     */
    set(key: string, value: Buffer, { urgent = false, recipients = [] }: PublishOptions = {}): void {
        const item = this.#ownValues.publish(key, value);
        if (urgent) {
            this.#push([item], pushHops, new Set([this.#options.self.id]));
        }
        for (const recipient of recipients) {
            const peer = this.#peers.get(recipient);
            if (peer !== undefined) {
                this.#send(peer, [item], 0);
            }
        }
    }

    /**
     * Removes a value of this node.
     * @param key - Its key.
     */
    remove(key: string): void {
        if (this.get(this.#options.self.id, key) !== undefined) {
            this.#ownValues.remove(key);
        }
    }

    /**
     * Returns a value, or undefined if it is unknown or removed.
     * @param origin - The node that published it.
     * @param key - Its key.
     */
    get(origin: string, key: string): Buffer | undefined {
        return this.#state.get(origin, key);
    }

    /**
     * Returns the values of all nodes under a key.
     * @param key - The key.
     */
    getAll(key: string): Iterable<{ readonly origin: string; readonly value: Buffer; }> {
        return this.#state.getAll(key);
    }

    /** Returns the entries of the VM list, without this node. */
    getPeers(): ReadonlyMap<string, PeerAddress> {
        return this.#peers;
    }

    /**
     * Returns the milliseconds since the heartbeat of an origin last increased, or undefined if none was received.
     * @param origin - The origin.
     */
    getHeartbeatAge(origin: string): number | undefined {
        const time = this.#state.getHeartbeatTime(origin);
        return time === undefined ? undefined : this.#options.clock.monotonic() - time;
    }

    /**
     * Replaces the set of peers by the entries of the VM list.
     * @param vms - The VMs. Those that are not entries are ignored.
     */
    setPeers(vms: readonly Vm[]): void {
        const peers = new Map<string, PeerAddress>();
        const now = this.#options.clock.monotonic();
        for (const { id, address, peerPort, role } of vms) {
            if (role === "entry" && peerPort !== undefined && id !== this.#options.self.id) {
                peers.set(id, { id, address, peerPort });
                this.#state.add(id, now);
            }
        }
        this.#peers = peers;
        this.#partners.setPeers(peers);
        this.#unreachablePeers.retain(peers);
        this.#removeDepartedOrigins();
    }

    /**
     * Returns whether other nodes reported that a peer does not answer, and it has sent no heartbeat since. A failure is known in this
     * way long before the heartbeat is so old that its node is suspected.
     * @param id - The peer.
     */
    isReportedUnreachable(id: string): boolean {
        return this.#unreachablePeers.isReported(id, this.#state.getDigestLine(id).heartbeat);
    }

    /**
     * Exchanges state with one peer: a random partner, or the successor, whom this node watches. A peer that does not answer is
     * reported if another one does; otherwise this node may be the one that is cut off.
     */
    async exchangeOnce(): Promise<void> {
        this.#removeDepartedOrigins();
        this.#ownValues.advanceHeartbeat();
        const peer = this.#partners.pick();
        if (peer === undefined || await this.#exchangeWith(peer)) {
            return;
        }
        const other = this.#partners.pick();
        if (other !== undefined && other.id !== peer.id && await this.#exchangeWith(other)) {
            this.#reportUnreachable(peer);
        }
    }

    /** @returns Whether the peer answered the first or the second attempt: one message may be lost. */
    async #exchangeWith(peer: PeerAddress): Promise<boolean> {
        const { transport } = this.#options;
        const request: ExchangeRequest = {
            ...this.#createEnvelope(),
            ...encodeDigest(this.#state, this.#getDigestLines()),
            items: [],
        };
        const sentVersions = this.#getVersions();
        const reply = await transport.exchange(peer, request) ?? await transport.exchange(peer, request);
        if (reply === undefined) {
            this.#partners.markUnresponsive(peer.id);
            return false;
        }
        this.#partners.markResponsive(peer.id);
        this.#handleReply(peer, reply, sentVersions);
        return true;
    }

    /**
     * Answers an exchange of a peer.
     * @param request - The request of the peer.
     */
    handleExchange(request: ExchangeRequest): ExchangeReply {
        this.#options.journal.observe(request.counter);
        this.#partners.markResponsive(request.sender);
        const lines = decodeDigest(this.#state, request);
        this.#applyDigest(lines);
        const peerLines = new Map(lines.map(line => [line.origin, line]));
        const outdatedLines: DigestLine[] = [];
        const updates: DigestLine[] = [];
        for (const line of this.#getDigestLines()) {
            const peerLine = peerLines.get(line.origin) ?? { origin: line.origin, heartbeat: 0, version: 0 };
            if (line.heartbeat > peerLine.heartbeat || line.version !== peerLine.version) {
                updates.push(line);
            }
            if (line.version > peerLine.version) {
                outdatedLines.push(peerLine);
            }
        }
        const items = this.#state.collect(shuffle(outdatedLines, this.#options.random), this.#getMaxValueBytes());
        return { ...this.#createEnvelope(), ...encodeDigest(this.#state, updates), items };
    }

    /**
     * Applies the items that a peer pushed, and forwards the new ones.
     * @param request - The request of the peer.
     * @returns This node's Lamport counter.
     */
    handlePush(request: PushRequest): number {
        this.#options.journal.observe(request.counter);
        const bases = new Map(request.bases.map(base => [base.origin, base.version]));
        const newer = this.#applyItems(request.items, bases);
        if (request.hops > 0 && newer.length > 0) {
            const excluded = new Set([this.#options.self.id, request.sender, ...newer.map(item => item.origin)]);
            this.#push(newer, request.hops - 1, excluded);
        }
        return this.#options.journal.getCounter();
    }

    #reportUnreachable({ id }: PeerAddress): void {
        const { heartbeat } = this.#state.getDigestLine(id);
        if (heartbeat > 0 && !this.#unreachablePeers.includes({ id, heartbeat })) {
            this.set(unreachableKey, this.#unreachablePeers.add({ id, heartbeat }), { urgent: true });
        }
    }

    #schedule(): void {
        const jitter = 0.9 + this.#options.random.next() * 0.2;
        this.#timer = setTimeout(() => {
            this.#schedule();
            void this.exchangeOnce();
        }, this.getPeriodMilliseconds() * jitter);
    }

    #handleReply(peer: PeerAddress, reply: ExchangeReply, sentVersions: ReadonlyMap<string, number>): void {
        this.#options.journal.observe(reply.counter);
        const lines = decodeDigest(this.#state, reply);
        this.#applyDigest(lines);
        this.#applyItems(reply.items, sentVersions);
        const outdatedLines = lines.filter(line => line.version < this.#state.getDigestLine(line.origin).version);
        if (outdatedLines.length === 0) {
            return;
        }
        const items = this.#state.collect(shuffle(outdatedLines, this.#options.random), this.#getMaxValueBytes());
        const origins = new Set(items.map(item => item.origin));
        const bases = outdatedLines.filter(line => origins.has(line.origin));
        const { sender, counter } = this.#createEnvelope();
        void this.#options.transport.push(peer, { sender, counter, items, bases, hops: 0 });
    }

    /** Applies digest lines: heartbeats of other nodes, and the state that the sender holds of this node. */
    #applyDigest(lines: readonly DigestLine[]): void {
        const now = this.#options.clock.monotonic();
        for (const line of lines) {
            if (line.origin === this.#options.self.id) {
                this.#ownValues.renumber(line);
            }
            else {
                this.#state.setHeartbeat(line.origin, line.heartbeat, now);
            }
        }
    }

    #applyItems(items: readonly Item[], bases: ReadonlyMap<string, number>): Item[] {
        const newer: Item[] = [];
        for (const item of items) {
            if (item.origin === this.#options.self.id) {
                continue;
            }
            if (this.#state.setItem(item)) {
                newer.push(item);
            }
            const base = bases.get(item.origin);
            if (base !== undefined) {
                this.#state.setVersion(item.origin, base, item.version);
            }
        }
        for (const item of newer) {
            if (item.key === unreachableKey && !item.removed) {
                this.#unreachablePeers.apply(item.value);
            }
            for (const listener of this.#listeners) {
                listener(item.origin, item.key, item.removed ? undefined : item.value);
            }
        }
        return newer;
    }

    #push(items: Item[], hops: number, excluded: ReadonlySet<string>): void {
        const peers = this.#partners.selectForPush(excluded);
        for (const peer of peers.slice(0, pushFanOut)) {
            this.#send(peer, items, hops);
        }
    }

    #send(peer: PeerAddress, items: Item[], hops: number): void {
        const { sender, counter } = this.#createEnvelope();
        void this.#options.transport.push(peer, { sender, counter, items, bases: [], hops });
    }

    /** Returns the age of a heartbeat from which its node is suspected. */
    getSuspicionTimeoutMilliseconds(): number {
        return getSuspicionTimeout(this.getPeriodMilliseconds(), this.#peers.size);
    }

    /** Returns the time in which an update of a node reaches all others. */
    getPropagationMilliseconds(): number {
        return getPropagationTime(this.getPeriodMilliseconds(), this.#peers.size);
    }

    /** Returns the time between two exchanges that this node starts. */
    getPeriodMilliseconds(): number {
        return getPeriod(this.#options.periodMilliseconds, this.#peers.size);
    }

    #getMaxValueBytes(): number {
        return getMaxValueBytes(this.#options.maxValueBytesPerMessage, this.getPeriodMilliseconds(), this.#peers.size);
    }

    #removeDepartedOrigins(): void {
        for (const origin of [...this.#state.getOrigins()]) {
            if (origin === this.#options.self.id || this.#peers.has(origin)) {
                continue;
            }
            if ((this.getHeartbeatAge(origin) ?? Number.POSITIVE_INFINITY) > originRetentionMilliseconds) {
                this.#state.remove(origin);
                this.#options.journal.write(events.memberForgotten, { member: origin });
            }
        }
    }

    #createEnvelope(): { sender: string; oldestProtocol: number; newestProtocol: number; counter: number; } {
        const counter = this.#options.journal.getCounter();
        return { sender: this.#options.self.id, oldestProtocol, newestProtocol, counter };
    }

    #getDigestLines(): DigestLine[] {
        const lines: DigestLine[] = [];
        for (const origin of this.#state.getOrigins()) {
            lines.push(this.#state.getDigestLine(origin));
        }
        return lines;
    }

    #getVersions(): ReadonlyMap<string, number> {
        return new Map(this.#getDigestLines().map(line => [line.origin, line.version]));
    }
}
