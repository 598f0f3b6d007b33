/**
 * Whom a node reads a topic from: the store, or a peer that reads the store.
 */
import type { Member } from "../membership/index.js";

/** At least so many nodes of a failure domain hear from one of their own; fewer hear from the one that reads the store. */
const minNodesForRelay = 8;

/** Where to read. */
export type ReadSource =
    | { readonly kind: "store"; }
    | { readonly kind: "peer"; readonly peer: Member; };

/** What the choice rests on. */
export interface ReadSourceOptions {
    readonly self: string;
    readonly failureDomain: string;
    /** Nodes that are taken to live, this one among them. */
    readonly alive: readonly Member[];
    /** Whether the state is old, or reading failed: the usual source does not do. */
    readonly isStale: boolean;
    /** How often another source than the usual one was tried since the state was last fresh. */
    readonly fallbackReads: number;
    /** Tells whether a node did not answer just now, so that the next by rank takes its place. */
    readonly isAvoided: (node: string) => boolean;
    /** Ranks a node; the first by rank reads. */
    readonly getRank: (node: string) => number;
}

/**
 * Chooses the source of the next read. One node reads the store, the first by rank. In a large failure domain the nodes hear
 * from the first of their own domain, which hears from the one that reads: the calls to the store do not grow with the site, and
 * no node answers more peers than its domain has nodes. When the usual source leaves the state old, the store and other peers
 * are tried in turn: a node that the store turns away hears from one that it serves.
 * @param options - What the choice rests on.
 */
export function chooseReadSource(options: ReadSourceOptions): ReadSource {
    const { self, failureDomain, alive, isStale, fallbackReads, isAvoided, getRank } = options;
    if (isStale) {
        const others = alive.filter(member => member.id !== self);
        if (fallbackReads === 0 || fallbackReads % 2 === 1 || others.length === 0) {
            return { kind: "store" };
        }
        return { kind: "peer", peer: others[(fallbackReads / 2 - 1) % others.length] };
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
    let first: Member | undefined;
    let firstRank = -1;
    for (const member of group) {
        const rank = getRank(member.id);
        if (rank > firstRank) {
            first = member;
            firstRank = rank;
        }
    }
    return first;
}
