/**
 * Which peers a node exchanges gossip with.
 */
import { getUnitRank } from "../decisions/index.js";
import type { PeerAddress } from "./peerAddress.js";

/**
 * A node exchanges with so many peers of its own choice, of those that are heard of. Every node talking to every other one would
 * open thousands of connections as a large site starts, and each costs both sides milliseconds while callers wait. Two choices of
 * each node keep a random graph in one piece; one that does not answer is replaced, and four leave time for that.
 */
export const maxPartners = 4;

/** Chooses partners by a rank that is each node's own: all peers at a small site. */
export class GossipPartners {
    readonly #self: string;
    readonly #ranks = new Map<string, number>();
    /** Monotonic milliseconds at which a peer did not answer; others take its place long before it is suspected. */
    readonly #unresponsiveAt = new Map<string, number>();

    /** @param self - Identifier of the node that chooses. */
    constructor(self: string) {
        this.#self = self;
    }

    /**
     * Forgets all peers but those that may exist.
     * @param peers - Their identifiers.
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

    /** Notes that a peer did not answer. */
    markUnresponsive(peer: string, now: number): void {
        this.#unresponsiveAt.set(peer, now);
    }

    /** Notes that a peer answered, or asked. */
    markResponsive(peer: string): void {
        this.#unresponsiveAt.delete(peer);
    }

    /**
     * Tells whether a peer did not answer when it was last asked.
     * @param peer - The peer.
     * @param since - What lies further back says nothing any more, in monotonic milliseconds.
     */
    wasUnresponsive(peer: string, since: number): boolean {
        return (this.#unresponsiveAt.get(peer) ?? Number.NEGATIVE_INFINITY) > since;
    }

    /**
     * Returns the partners among some peers.
     * @param peers - The peers.
     */
    select(peers: readonly PeerAddress[]): readonly PeerAddress[] {
        if (peers.length <= maxPartners) {
            return peers;
        }
        const ranked = [...peers].sort((first, second) => this.#getRank(second.id) - this.#getRank(first.id));
        return ranked.slice(0, maxPartners);
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
