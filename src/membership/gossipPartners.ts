/**
 * Selects the peers that a node exchanges gossip with.
 */
import { getUnitRank } from "../decisions/index.js";
import type { PeerAddress } from "./peerAddress.js";

/**
 * Number of responsive peers that a node starts exchanges with. If every node called every other one, a large site
 * would open thousands of connections at its start, and each costs both sides milliseconds of processor time while
 * callers wait. With two partners for each node, the random graph stays connected. Four leave time to replace a partner
 * that does not answer.
 */
export const maxPartners = 4;

/** Selects partners by a rank that differs between nodes. At a small site, all peers are partners. */
export class GossipPartners {
    readonly #self: string;
    readonly #ranks = new Map<string, number>();
    /** Monotonic milliseconds at which a peer last failed to answer. It is replaced long before it is suspected. */
    readonly #unresponsiveAt = new Map<string, number>();

    /** @param self - Identifier of this node. */
    constructor(self: string) {
        this.#self = self;
    }

    /**
     * Removes the state of all peers except the given ones.
     * @param peers - Identifiers of the peers to retain.
     */
    retain(peers: ReadonlyMap<string, unknown>): void {
        for (const known of [this.#ranks, this.#unresponsiveAt]) {
            for (const id of known.keys()) {
                if (!peers.has(id)) {
                    known.delete(id);
                }
            }
        }
    }

    /** Records that a peer did not answer. */
    markUnresponsive(peer: string, now: number): void {
        this.#unresponsiveAt.set(peer, now);
    }

    /** Records that a peer answered or sent a request. */
    markResponsive(peer: string): void {
        this.#unresponsiveAt.delete(peer);
    }

    /**
     * Returns whether the last exchange with a peer failed.
     * @param peer - The peer.
     * @param since - Failures before this time are ignored, in monotonic milliseconds.
     */
    wasUnresponsive(peer: string, since: number): boolean {
        return (this.#unresponsiveAt.get(peer) ?? Number.NEGATIVE_INFINITY) > since;
    }

    /**
     * Returns the peer that follows this node in the order of identifiers, or the first one after the last. Each peer follows exactly
     * one node, so that each is watched, whichever partners the nodes have.
     * @param peers - The peers.
     */
    getSuccessor(peers: readonly PeerAddress[]): PeerAddress | undefined {
        let first: PeerAddress | undefined;
        let next: PeerAddress | undefined;
        for (const peer of peers) {
            if (first === undefined || peer.id < first.id) {
                first = peer;
            }
            if (peer.id > this.#self && (next === undefined || peer.id < next.id)) {
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
    select(peers: readonly PeerAddress[]): readonly PeerAddress[] {
        if (peers.length <= maxPartners) {
            return peers;
        }
        const successor = this.getSuccessor(peers);
        const ranked = peers.filter(peer => peer !== successor);
        ranked.sort((first, second) => this.#getRank(second.id) - this.#getRank(first.id));
        return [...ranked.slice(0, maxPartners - 1), ...successor === undefined ? [] : [successor]];
    }

    #getRank(peer: string): number {
        let rank = this.#ranks.get(peer);
        if (rank === undefined) {
            rank = getUnitRank(this.#self, peer);
            this.#ranks.set(peer, rank);
        }
        return rank;
    }
}
