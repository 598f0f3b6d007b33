/**
 * Whom a node reads a topic from: the store, or a peer that reads the store.
 */
import { getUnitRank } from "../decisions/index.js";
import type { Member } from "../membership/index.js";

/**
 * At least so many nodes share a reader of their own failure domain; fewer share one for all. A call to the store costs
 * more than the same bytes between failure domains while there are few nodes.
 */
const leastNodesOfDomain = 8;

/** Where to read. */
export type ReadSource =
    | { readonly kind: "store"; }
    | { readonly kind: "peer"; readonly peer: Member; };

/** What the choice rests on. */
export interface ReaderChoiceOptions {
    readonly self: string;
    readonly failureDomain: string;
    /** Nodes that are known to live, this one among them. */
    readonly alive: readonly Member[];
    /** Whether the state is old, or reading failed: the usual source does not do. */
    readonly isStale: boolean;
    /** How often another source than the usual one was tried since the state was last fresh. */
    readonly detours: number;
}

/**
 * Chooses the source of the next read. The reader is the first by rank among the nodes that share it. When the usual
 * source leaves the state old, the store and other peers are tried in turn: a node that the store turns away hears from one
 * that it serves.
 * @param options - What the choice rests on.
 */
export function chooseReader(options: ReaderChoiceOptions): ReadSource {
    const { self, failureDomain, alive, isStale, detours } = options;
    if (isStale) {
        const others = alive.filter(member => member.id !== self);
        if (detours === 0 || detours % 2 === 1 || others.length === 0) {
            return { kind: "store" };
        }
        return { kind: "peer", peer: others[(detours / 2 - 1) % others.length] };
    }
    const near = alive.filter(member => member.failureDomain === failureDomain);
    const group = near.length >= leastNodesOfDomain ? near : alive;
    let reader: Member | undefined;
    for (const member of group) {
        if (reader === undefined || getUnitRank("reader", member.id) > getUnitRank("reader", reader.id)) {
            reader = member;
        }
    }
    return reader === undefined || reader.id === self ? { kind: "store" } : { kind: "peer", peer: reader };
}
