/**
 * Choice of the nodes that hold the shares of an upstream's rate, by rank and without communication.
 *
 * A rate that is divided among hundreds of nodes leaves each less than one request, and rounding up exceeds the rate many times.
 */
import type { Clock } from "../../common/index.js";
import { getRank } from "../placement/rendezvous.js";
import type { LimitedUpstream } from "./sendLimit.js";

/** Time for which the choice of holders of an upstream is cached. */
const cacheMilliseconds = 1_000;

/** A node that may hold a share. */
export interface ShareHolder {
    readonly id: string;
    readonly failureDomain: string;
}

/** What a node holds of an upstream's rate. */
export interface ShareHolding {
    readonly isHolder: boolean;
    /** Number of nodes that hold a share. */
    readonly holders: number;
}

/** Options of `ShareHolders`. */
export interface ShareHoldersOptions {
    readonly clock: Clock;
    /** Identifier of this node. */
    readonly self: string;
    /** Returns all nodes that may send requests, including this one. */
    readonly getNodes: () => readonly ShareHolder[];
}

interface CachedHolding {
    readonly holding: ShareHolding;
    readonly maxHolders: number;
    readonly until: number;
}

/** Decides whether this node holds a share. */
export class ShareHolders {
    readonly #options: ShareHoldersOptions;
    readonly #cache = new Map<string, CachedHolding>();

    constructor(options: ShareHoldersOptions) {
        this.#options = options;
    }

    /**
     * Returns what this node holds of an upstream's rate.
     * @param upstream - The upstream.
     * @param maxHolders - Maximum number of nodes that hold a share.
     */
    get(upstream: LimitedUpstream, maxHolders: number): ShareHolding {
        const now = this.#options.clock.monotonic();
        const cached = this.#cache.get(upstream.id);
        if (cached !== undefined && now < cached.until && cached.maxHolders === maxHolders) {
            return cached.holding;
        }
        const holding = this.#choose(upstream, maxHolders);
        this.#cache.set(upstream.id, { holding, maxHolders, until: now + cacheMilliseconds });
        return holding;
    }

    /**
     * Removes the cached choice for an upstream.
     * @param upstream - Identifier of the upstream.
     */
    remove(upstream: string): void {
        this.#cache.delete(upstream);
    }

    /** Chooses nodes of the upstream's failure domain, which send it most requests anyway, or any where that has none. */
    #choose({ id, failureDomain }: LimitedUpstream, maxHolders: number): ShareHolding {
        const nodes = this.#options.getNodes();
        const near = nodes.filter(node => node.failureDomain === failureDomain);
        const ranked = (near.length > 0 ? near : nodes).map(node => ({ node, rank: getRank(id, node.id) }));
        ranked.sort((first, second) => second.rank - first.rank);
        const holders = ranked.slice(0, maxHolders);
        return { isHolder: holders.some(({ node }) => node.id === this.#options.self), holders: holders.length };
    }
}
