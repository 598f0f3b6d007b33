/**
 * Spreads small values that each node publishes about itself to all nodes.
 *
 * Every period a node picks one random peer, and the two bring each other up to date within a bound of bytes. Urgent
 * values are pushed at once besides, from each receiver to a few more, a few times over; whoever the pushes miss gets
 * them by the next exchanges.
 */
import type { Clock, RandomSource } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { ExchangeReply, ExchangeRequest, Item, PushRequest } from "../generated/peer.js";
import type { Vm } from "../world/index.js";
import { readDigest, writeDigest } from "./gossipMessages.js";
import { getPeriod, getSpreadTime, getSuspectTime, getValueBytes } from "./gossipPace.js";
import { GossipPartners, mostPartners } from "./gossipPartners.js";
import { type DigestLine, GossipState, incarnationKey } from "./gossipState.js";
import type { GossipTransport, NodeIdentity, PeerAddress } from "./peerAddress.js";
import { newestProtocol, oldestProtocol } from "./protocol.js";
import { shuffle } from "./shuffle.js";

/** Versions and heartbeats start from the time since then, so that a restarted node goes on above its last run. */
const versionEpochMilliseconds = Date.UTC(2025, 0, 1);
/**
 * Time that a node's run gains on by one published value. A run that published faster than this over its whole life
 * would end above the start of the next one on the same VM. Peers would then keep the old run's values that the new
 * one has not overwritten, a "leaving" above all, and never send the restarted entry any work.
 */
const millisecondsPerVersion = 20;
const pushFanOut = 4;
const pushHops = 5;
/** One exchange in so many goes to a peer that seems dead, so that two halves find each other again after a cut. */
const revivalShare = 0.15;
/** An origin that has left the VM list is remembered until it has been silent for so long. */
const forgetMilliseconds = 60_000;

/** Takes a value that is new here. Undefined when its origin removed it. */
export type GossipListener = (origin: string, key: string, value: Buffer | undefined) => void;

/** Options of gossip. */
export interface GossipOptions {
    readonly self: NodeIdentity;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly journal: Journal;
    readonly transport: GossipTransport;
    readonly periodMilliseconds: number;
    /** The most bytes of values in one message; the digest comes on top. Large sites send less. */
    readonly bytesPerExchange: number;
}

/** Publishes this node's values and learns those of others. */
export class Gossip {
    readonly #options: GossipOptions;
    readonly #state = new GossipState();
    readonly #listeners: GossipListener[] = [];
    #peers: ReadonlyMap<string, PeerAddress> = new Map();
    readonly #partners: GossipPartners;
    #heartbeat: number;
    #version: number;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: GossipOptions) {
        this.#options = options;
        this.#partners = new GossipPartners(options.self.id);
        const elapsedMilliseconds = options.clock.wall() - versionEpochMilliseconds;
        this.#version = Math.max(1, Math.floor(elapsedMilliseconds / millisecondsPerVersion));
        this.#heartbeat = this.#version;
        this.#state.add(options.self.id, options.clock.monotonic());
        this.#publishIncarnation();
    }

    /** Begins to exchange. */
    start(): void {
        this.#schedule();
    }

    /** Ends exchanging. */
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
     * @param options - `urgent` pushes it at once.
     */
    set(key: string, value: Buffer, options: { readonly urgent?: boolean; } = {}): void {
        const item = this.#publish(key, value, false);
        if (options.urgent === true) {
            this.#push([item], pushHops, new Set([this.#options.self.id]));
        }
    }

    /**
     * Removes a value of this node.
     * @param key - Its key.
     */
    remove(key: string): void {
        if (this.get(this.#options.self.id, key) !== undefined) {
            this.#publish(key, Buffer.alloc(0), true);
        }
    }

    /**
     * Returns a value.
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

    /** Returns the peers that may exist, by the VM list. */
    getPeers(): ReadonlyMap<string, PeerAddress> {
        return this.#peers;
    }

    /**
     * Returns the milliseconds since an origin was last known to have lived, or undefined if it never was.
     * @param origin - The origin.
     */
    getHeartbeatAge(origin: string): number | undefined {
        const time = this.#state.getHeartbeatTime(origin);
        return time === undefined ? undefined : this.#options.clock.monotonic() - time;
    }

    /**
     * Takes the VM list in: it says who may exist.
     * @param vms - The VMs; those that are not entries are passed over.
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
        this.#partners.retain(peers);
        this.#forgetGone();
    }

    /** Exchanges with one random peer now. */
    async exchangeOnce(): Promise<void> {
        this.#forgetGone();
        this.#heartbeat += 1;
        this.#state.setHeartbeat(this.#options.self.id, this.#heartbeat, this.#options.clock.monotonic());
        const peer = this.#pickPeer();
        if (peer === undefined) {
            return;
        }
        const request: ExchangeRequest = {
            ...this.#createEnvelope(),
            ...writeDigest(this.#state, this.#getLines()),
            items: [],
        };
        const sent = this.#getVersions();
        const reply = await this.#options.transport.exchange(peer, request);
        if (reply === undefined) {
            this.#partners.markUnanswered(peer.id, this.#options.clock.monotonic());
            return;
        }
        this.#partners.markAnswered(peer.id);
        this.#handleReply(peer, reply, sent);
    }

    /**
     * Answers a peer's exchange.
     * @param request - What it sent.
     */
    handleExchange(request: ExchangeRequest): ExchangeReply {
        this.#options.journal.observe(request.counter);
        this.#partners.markAnswered(request.sender);
        const lines = readDigest(this.#state, request);
        this.#observe(lines);
        const theirs = new Map(lines.map(line => [line.origin, line]));
        const wants: DigestLine[] = [];
        const news: DigestLine[] = [];
        for (const line of this.#getLines()) {
            const other = theirs.get(line.origin) ?? { origin: line.origin, heartbeat: 0, version: 0 };
            if (line.heartbeat > other.heartbeat || line.version !== other.version) {
                news.push(line);
            }
            if (line.version > other.version) {
                wants.push(other);
            }
        }
        const items = this.#state.collect(shuffle(wants, this.#options.random), this.#getValueBytes());
        return { ...this.#createEnvelope(), ...writeDigest(this.#state, news), items };
    }

    /**
     * Takes in what a peer pushed.
     * @param request - What it sent.
     * @returns This node's Lamport counter.
     */
    handlePush(request: PushRequest): number {
        this.#options.journal.observe(request.counter);
        const bases = new Map(request.bases.map(base => [base.origin, base.version]));
        const newer = this.#takeIn(request.items, bases);
        if (request.hops > 0 && newer.length > 0) {
            const skipped = new Set([this.#options.self.id, request.sender, ...newer.map(item => item.origin)]);
            this.#push(newer, request.hops - 1, skipped);
        }
        return this.#options.journal.getCounter();
    }

    #schedule(): void {
        const jitter = 0.9 + this.#options.random.next() * 0.2;
        this.#timer = setTimeout(() => {
            this.#schedule();
            void this.exchangeOnce();
        }, this.getPeriodMilliseconds() * jitter);
    }

    #handleReply(peer: PeerAddress, reply: ExchangeReply, sent: ReadonlyMap<string, number>): void {
        this.#options.journal.observe(reply.counter);
        const lines = readDigest(this.#state, reply);
        this.#observe(lines);
        this.#takeIn(reply.items, sent);
        const wants = lines.filter(line => line.version < this.#state.getLine(line.origin).version);
        if (wants.length === 0) {
            return;
        }
        const items = this.#state.collect(shuffle(wants, this.#options.random), this.#getValueBytes());
        const origins = new Set(items.map(item => item.origin));
        const bases = wants.filter(want => origins.has(want.origin));
        const { sender, counter } = this.#createEnvelope();
        void this.#options.transport.push(peer, { sender, counter, items, bases, hops: 0 });
    }

    /** Takes digest lines in: heartbeats of others, and what is said of this node itself. */
    #observe(lines: readonly DigestLine[]): void {
        const now = this.#options.clock.monotonic();
        for (const line of lines) {
            if (line.origin === this.#options.self.id) {
                this.#overtake(line);
            }
            else {
                this.#state.setHeartbeat(line.origin, line.heartbeat, now);
            }
        }
    }

    /**
     * Renumbers this node's values above what others remember of an earlier run of it. That happens when the wall
     * clock went back over a restart; peers would otherwise take every new value for an old one.
     */
    #overtake(line: DigestLine): void {
        this.#heartbeat = Math.max(this.#heartbeat, line.heartbeat);
        if (line.version <= this.#version) {
            return;
        }
        this.#version = line.version;
        const own = [...this.#state.getValues(this.#options.self.id)];
        this.#publishIncarnation();
        for (const [key, value] of own) {
            if (key !== incarnationKey) {
                this.#publish(key, value.value, value.removed);
            }
        }
    }

    #publishIncarnation(): void {
        this.#publish(incarnationKey, Buffer.from(String(this.#version + 1)), false);
    }

    #publish(key: string, value: Buffer, removed: boolean): Item {
        this.#version += 1;
        const item = { origin: this.#options.self.id, key, version: this.#version, value, removed };
        this.#state.setItem(item);
        this.#state.setVersion(item.origin, 0, item.version);
        return item;
    }

    #takeIn(items: readonly Item[], bases: ReadonlyMap<string, number>): Item[] {
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
            for (const listener of this.#listeners) {
                listener(item.origin, item.key, item.removed ? undefined : item.value);
            }
        }
        return newer;
    }

    #push(items: Item[], hops: number, skipped: ReadonlySet<string>): void {
        const { heard } = this.#dividePeers();
        const known = heard.length >= mostPartners ? heard : [...this.#peers.values()];
        const peers = shuffle(this.#partners.select(known.filter(peer => !skipped.has(peer.id))), this.#options.random);
        const { sender, counter } = this.#createEnvelope();
        for (const peer of peers.slice(0, pushFanOut)) {
            void this.#options.transport.push(peer, { sender, counter, items, bases: [], hops });
        }
    }

    #pickPeer(): PeerAddress | undefined {
        const { quiet, heard } = this.#dividePeers();
        const isRevival = quiet.length > 0 && this.#options.random.next() < revivalShare;
        const candidates = isRevival ? quiet : this.#partners.select(heard.length > 0 ? heard : quiet);
        return candidates.length === 0
            ? undefined
            : candidates[this.#options.random.nextInteger(candidates.length)];
    }

    /** Divides the peers into those that were not heard of for long or did not answer, and the others. */
    #dividePeers(): { readonly quiet: PeerAddress[]; readonly heard: PeerAddress[]; } {
        const quiet: PeerAddress[] = [];
        const heard: PeerAddress[] = [];
        const quietMilliseconds = this.getSuspectMilliseconds();
        const unansweredSince = this.#options.clock.monotonic() - quietMilliseconds;
        for (const peer of this.#peers.values()) {
            const age = this.getHeartbeatAge(peer.id);
            const isUnanswered = this.#partners.wasUnanswered(peer.id, unansweredSince);
            (age === undefined || age > quietMilliseconds || isUnanswered ? quiet : heard).push(peer);
        }
        return { quiet, heard };
    }

    /** Returns how long a heartbeat may stay unchanged before its node is suspected. */
    getSuspectMilliseconds(): number {
        return getSuspectTime(this.getPeriodMilliseconds(), this.#peers.size);
    }

    /** Returns how long news of a node takes to reach all others. */
    getSpreadMilliseconds(): number {
        return getSpreadTime(this.getPeriodMilliseconds(), this.#peers.size);
    }

    /** Returns the time between two exchanges that this node begins. */
    getPeriodMilliseconds(): number {
        return getPeriod(this.#options.periodMilliseconds, this.#peers.size);
    }

    #getValueBytes(): number {
        return getValueBytes(this.#options.bytesPerExchange, this.getPeriodMilliseconds(), this.#peers.size);
    }

    #forgetGone(): void {
        for (const origin of [...this.#state.getOrigins()]) {
            if (origin === this.#options.self.id || this.#peers.has(origin)) {
                continue;
            }
            if ((this.getHeartbeatAge(origin) ?? Number.POSITIVE_INFINITY) > forgetMilliseconds) {
                this.#state.remove(origin);
                this.#options.journal.write(events.memberForgotten, { member: origin });
            }
        }
    }

    #createEnvelope(): { sender: string; oldestProtocol: number; newestProtocol: number; counter: number; } {
        const counter = this.#options.journal.getCounter();
        return { sender: this.#options.self.id, oldestProtocol, newestProtocol, counter };
    }

    #getLines(): DigestLine[] {
        const lines: DigestLine[] = [];
        for (const origin of this.#state.getOrigins()) {
            lines.push(this.#state.getLine(origin));
        }
        return lines;
    }

    #getVersions(): ReadonlyMap<string, number> {
        return new Map(this.#getLines().map(line => [line.origin, line.version]));
    }
}
