/**
 * Selects the peers that a node exchanges gossip with.
 */
import type { Clock, RandomSource } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import { getWatchPeriods } from "./gossipTiming.js";
import type { PeerAddress } from "./peerAddress.js";
import { shuffle } from "./shuffle.js";

/**
 * Number of responsive peers that a node starts exchanges with. If every node called every other one, a large site
 * would open thousands of connections at its start, and each costs both sides milliseconds of processor time while
 * callers wait. With two partners for each node, the random graph stays connected. Four leave time to replace a partner
 * that does not answer.
 */
const maxPartners = 4;

/**
 * Share of exchanges that go to an unresponsive peer, so that the two sides of a network partition reconnect after it
 * heals.
 */
const unresponsivePeerProbability = 0.15;

/** Options of the selection of partners. */
export interface GossipPartnersOptions {
    /** Identifier of this node. */
    readonly self: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the milliseconds since a peer's heartbeat last increased, or undefined if none was received. */
    readonly getHeartbeatAge: (peer: string) => number | undefined;
    /** Returns the age of a heartbeat from which its node is suspected, in milliseconds. */
    readonly getSuspicionTimeout: () => number;
    /** Returns the time between two exchanges that this node starts, in milliseconds. */
    readonly getPeriod: () => number;
}

/** Selects partners by a rank that differs between nodes. At a small site, all peers are partners. */
export class GossipPartners {
    readonly #options: GossipPartnersOptions;
    readonly #ranks = new Map<string, number>();
    #peers: ReadonlyMap<string, PeerAddress> = new Map();
    #picks = 0;
    /** Monotonic milliseconds at which a peer last failed to answer. It is replaced long before it is suspected. */
    readonly #unresponsiveAt = new Map<string, number>();

    constructor(options: GossipPartnersOptions) {
        this.#options = options;
    }

    /**
     * Replaces the peers to select from.
     * @param peers - The peers by identifier.
     */
    setPeers(peers: ReadonlyMap<string, PeerAddress>): void {
        this.#peers = peers;
        for (const known of [this.#ranks, this.#unresponsiveAt]) {
            for (const id of known.keys()) {
                if (!peers.has(id)) {
                    known.delete(id);
                }
            }
        }
    }

    /** Records that a peer did not answer. */
    markUnresponsive(peer: string): void {
        this.#unresponsiveAt.set(peer, this.#options.clock.monotonic());
    }

    /** Records that a peer answered or sent a request. */
    markResponsive(peer: string): void {
        this.#unresponsiveAt.delete(peer);
    }

    /** Picks the peer of the next exchange: a partner, the successor, or now and then an unresponsive peer. */
    pick(): PeerAddress | undefined {
        const { random, getPeriod } = this.#options;
        const { unresponsive, responsive } = this.#classify();
        this.#picks += 1;
        if (this.#picks % getWatchPeriods(getPeriod()) === 0 && responsive.length > maxPartners) {
            return this.#getSuccessor(responsive);
        }
        const shouldPickUnresponsive = unresponsive.length > 0 && random.next() < unresponsivePeerProbability;
        const candidates = shouldPickUnresponsive
            ? unresponsive
            : this.#select(responsive.length > 0 ? responsive : unresponsive);
        return candidates.length === 0 ? undefined : candidates[random.nextInteger(candidates.length)];
    }

    /**
     * Selects the peers that receive an urgent value, in random order.
     * @param excluded - Identifiers of the nodes that have it already.
     */
    selectForPush(excluded: ReadonlySet<string>): readonly PeerAddress[] {
        const { responsive } = this.#classify();
        const candidates = responsive.length >= maxPartners ? responsive : [...this.#peers.values()];
        return shuffle(this.#select(candidates.filter(peer => !excluded.has(peer.id))), this.#options.random);
    }

    /**
     * Splits the peers into unresponsive ones, whose heartbeat is too old or which did not answer a recent exchange,
     * and the others.
     */
    #classify(): { readonly unresponsive: PeerAddress[]; readonly responsive: PeerAddress[]; } {
        const { clock, getHeartbeatAge, getSuspicionTimeout } = this.#options;
        const unresponsive: PeerAddress[] = [];
        const responsive: PeerAddress[] = [];
        const suspicionTimeout = getSuspicionTimeout();
        const unresponsiveSince = clock.monotonic() - suspicionTimeout;
        for (const peer of this.#peers.values()) {
            const age = getHeartbeatAge(peer.id);
            const hasFailed = (this.#unresponsiveAt.get(peer.id) ?? Number.NEGATIVE_INFINITY) > unresponsiveSince;
            (age === undefined || age > suspicionTimeout || hasFailed ? unresponsive : responsive).push(peer);
        }
        return { unresponsive, responsive };
    }

    /**
     * Returns the peer that follows this node in the order of identifiers, or the first one after the last. Each peer follows exactly
     * one node, so that each is watched, whichever partners the nodes have.
     * @param peers - The peers.
     */
    #getSuccessor(peers: readonly PeerAddress[]): PeerAddress | undefined {
        let first: PeerAddress | undefined;
        let next: PeerAddress | undefined;
        for (const peer of peers) {
            if (first === undefined || peer.id < first.id) {
                first = peer;
            }
            if (peer.id > this.#options.self && (next === undefined || peer.id < next.id)) {
                next = peer;
            }
        }
        return next ?? first;
    }

    /**
     * Selects the partners among some peers: the successor, and others by rank. By rank alone, a few nodes would be nobody's partner,
     * and urgent values would not reach them.
     * @param peers - The peers.
     */
    #select(peers: readonly PeerAddress[]): readonly PeerAddress[] {
        if (peers.length <= maxPartners) {
            return peers;
        }
        const successor = this.#getSuccessor(peers);
        const ranked = peers.filter(peer => peer !== successor);
        ranked.sort((first, second) => this.#getRank(second.id) - this.#getRank(first.id));
        return [...ranked.slice(0, maxPartners - 1), ...successor === undefined ? [] : [successor]];
    }

    #getRank(peer: string): number {
        let rank = this.#ranks.get(peer);
        if (rank === undefined) {
            rank = getUnitRank(this.#options.self, peer);
            this.#ranks.set(peer, rank);
        }
        return rank;
    }
}
