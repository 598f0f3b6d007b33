/**
 * Chooses where a node reads a topic from: the store, or a peer that reads the store.
 */
import type { Member } from "../membership/index.js";

/**
 * From this number of nodes on, the nodes of a failure domain read from one of their own. In smaller domains they read
 * from the node that reads the store.
 */
const minNodesForRelay = 8;

/** The source of a read. */
export type ReadSource =
    | { readonly kind: "store"; }
    | { readonly kind: "peer"; readonly peer: Member; };

/** Input of the choice. */
export interface ReadSourceOptions {
    readonly self: string;
    readonly failureDomain: string;
    /** Nodes that are presumed alive, including this one. */
    readonly alive: readonly Member[];
    /** Whether the state is old, or reading failed, so that the usual source is not sufficient. */
    readonly isStale: boolean;
    /** Whether the store recently did not answer this node, which leaves it to others for a while. */
    readonly isStoreAvoided: boolean;
    /** Number of fallback reads since the state was last fresh. */
    readonly fallbackReads: number;
    /** Returns whether a node recently did not answer, so that the node with the next rank takes its place. */
    readonly isAvoided: (node: string) => boolean;
    /** Returns the rank of a node. The node with the highest rank reads the store. */
    readonly getRank: (node: string) => number;
}

/**
 * Chooses the source of the next read. The node with the highest rank reads the store. In a large failure domain, the
 * nodes read from the highest-ranked node of their domain, which reads from the store reader. The number of calls to
 * the store therefore does not grow with the site, and no node serves more peers than its domain has nodes. When the
 * usual source leaves the state old, the store and other peers are read in turn, or only peers while the store does not
 * answer this node. A node that the store rejects can thus read from one that it serves.
 * @param options - Input of the choice.
 */
export function chooseReadSource(options: ReadSourceOptions): ReadSource {
    const { self, failureDomain, alive, isStale, isStoreAvoided, fallbackReads, isAvoided, getRank } = options;
    if (isStale) {
        const others = alive.filter(member => member.id !== self);
        const isStoreTurn = fallbackReads === 0 || fallbackReads % 2 === 1;
        if (others.length === 0 || isStoreTurn && !isStoreAvoided) {
            return { kind: "store" };
        }
        // Each node begins with another peer. With the same order everywhere, all nodes would ask the first peer at once.
        const first = Math.floor(getRank(self) * others.length);
        return { kind: "peer", peer: others[(first + fallbackReads) % others.length] };
    }
    const candidates = alive.filter(member => !isAvoided(member.id));
    const sameDomain = candidates.filter(member => member.failureDomain === failureDomain);
    const relay = sameDomain.length >= minNodesForRelay ? findHighestRanked(sameDomain, getRank) : undefined;
    if (relay !== undefined && relay.id !== self) {
        return { kind: "peer", peer: relay };
    }
    const storeReader = findHighestRanked(candidates, getRank);
    return storeReader === undefined || storeReader.id === self
        ? { kind: "store" }
        : { kind: "peer", peer: storeReader };
}

function findHighestRanked(group: readonly Member[], getRank: (node: string) => number): Member | undefined {
    let highest: Member | undefined;
    let highestRank = -1;
    for (const member of group) {
        const rank = getRank(member.id);
        if (rank > highestRank) {
            highest = member;
            highestRank = rank;
        }
    }
    return highest;
}
