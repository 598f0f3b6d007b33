/**
 * Which peers a node exchanges gossip with.
 */
import { getUnitRank } from "../decisions/index.js";
import type { PeerAddress } from "./peerAddress.js";

/**
 * A node exchanges with so many peers of its own choice, of those that are heard of. Every node talking to every other one would
 * open 8,000 connections as a site of 90 nodes starts, and keep 350 at each node of the largest; a random graph of this degree
 * carries news in as many rounds.
 */
export const mostPartners = 8;

/** Chooses partners by a rank that is each node's own: all peers at a small site. */
export class GossipPartners {
    readonly #self: string;
    readonly #ranks = new Map<string, number>();

    /** @param self - Identifier of the node that chooses. */
    constructor(self: string) {
        this.#self = self;
    }

    /**
     * Forgets all peers but those that may exist.
     * @param peers - Their identifiers.
     */
    retain(peers: ReadonlyMap<string, unknown>): void {
        for (const id of this.#ranks.keys()) {
            if (!peers.has(id)) {
                this.#ranks.delete(id);
            }
        }
    }

    /**
     * Returns the partners among some peers.
     * @param peers - The peers.
     */
    select(peers: readonly PeerAddress[]): readonly PeerAddress[] {
        if (peers.length <= mostPartners) {
            return peers;
        }
        const ranked = [...peers].sort((first, second) => this.#getRank(second.id) - this.#getRank(first.id));
        return ranked.slice(0, mostPartners);
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
