/**
 * Limits the requests that all nodes together send to an upstream that is warming up, without communication between them.
 *
 * A few nodes, chosen by rank, hold an equal share of the rate that the upstream tolerates; the others send it nothing. The shares
 * add up to less than the tolerated rate, so that nodes whose lists of nodes differ for a moment do not exceed it either.
 */
import type { Clock } from "../../common/index.js";
import type { RegisteredUpstream } from "../../fleet/index.js";
import { getRank } from "../placement/rendezvous.js";

/** Requests that one node sends to an upstream in one window, at most. */
const requestsPerHolder = 2;
/** Longer than the second in which an upstream counts, since requests of one node take unequal times to arrive. */
const windowMilliseconds = 1_100;
/** Time for which the choice of holders of an upstream is cached. */
const holderCacheMilliseconds = 1_000;

/** A node that may hold a share. */
export interface ShareHolder {
    readonly id: string;
    readonly failureDomain: string;
}

/** Options of `WarmUpLimit`. */
export interface WarmUpLimitOptions {
    readonly clock: Clock;
    /** Identifier of this node. */
    readonly self: string;
    /** Returns whether an upstream is warming up. */
    readonly isWarmingUp: (upstream: RegisteredUpstream) => boolean;
    /** Returns the requests a second of all nodes that a warming upstream of a pool tolerates; 0 if they are not limited. */
    readonly getRequestsPerSecond: (pool: string) => number;
    /** Returns all nodes, including this one and those that do not answer. */
    readonly getNodes: () => readonly ShareHolder[];
    /**
     * Returns whether this node knows all nodes and is known to them, and its list of upstreams is current. Otherwise it holds no
     * share: another node may hold it.
     */
    readonly mayHold: () => boolean;
}

interface CachedHolding {
    readonly isHolder: boolean;
    readonly until: number;
}

/** Decides whether this node may send a request to an upstream that is warming up. */
export class WarmUpLimit {
    readonly #options: WarmUpLimitOptions;
    readonly #holdings = new Map<string, CachedHolding>();
    /** Monotonic times of the requests in the current window, by upstream. */
    readonly #sentAt = new Map<string, readonly number[]>();

    constructor(options: WarmUpLimitOptions) {
        this.#options = options;
    }

    /**
     * Returns whether this node may send a request to an upstream now. A warm upstream has no limit.
     * @param upstream - The upstream.
     */
    isAdmitted(upstream: RegisteredUpstream): boolean {
        if (!this.#isLimited(upstream)) {
            return true;
        }
        const share = this.#getShare(upstream.pool);
        return share > 0 && this.#options.mayHold() && this.#isHolder(upstream)
            && this.#getRecent(upstream.id).length < share;
    }

    /**
     * Records a request that is sent to an upstream.
     * @param upstream - The upstream.
     */
    add(upstream: RegisteredUpstream): void {
        if (this.#isLimited(upstream)) {
            this.#sentAt.set(upstream.id, [...this.#getRecent(upstream.id), this.#options.clock.monotonic()]);
        }
    }

    /**
     * Removes what is known of an upstream.
     * @param upstream - Identifier of the upstream.
     */
    remove(upstream: string): void {
        this.#holdings.delete(upstream);
        this.#sentAt.delete(upstream);
    }

    #isLimited(upstream: RegisteredUpstream): boolean {
        const { isWarmingUp, getRequestsPerSecond } = this.#options;
        return isWarmingUp(upstream) && getRequestsPerSecond(upstream.pool) > 0;
    }

    /** Returns the requests that a holder may send in one window. */
    #getShare(pool: string): number {
        return Math.min(requestsPerHolder, Math.floor(this.#options.getRequestsPerSecond(pool)));
    }

    #getRecent(id: string): readonly number[] {
        const since = this.#options.clock.monotonic() - windowMilliseconds;
        return (this.#sentAt.get(id) ?? []).filter(at => at > since);
    }

    #isHolder(upstream: RegisteredUpstream): boolean {
        const now = this.#options.clock.monotonic();
        const cached = this.#holdings.get(upstream.id);
        if (cached !== undefined && now < cached.until) {
            return cached.isHolder;
        }
        const isHolder = this.#chooseHolders(upstream).some(({ id }) => id === this.#options.self);
        this.#holdings.set(upstream.id, { isHolder, until: now + holderCacheMilliseconds });
        return isHolder;
    }

    /** Chooses nodes of the upstream's failure domain, which send it most requests anyway, or any where that has none. */
    #chooseHolders({ id, pool, failureDomain }: RegisteredUpstream): readonly ShareHolder[] {
        const { getNodes, getRequestsPerSecond } = this.#options;
        const count = Math.floor(getRequestsPerSecond(pool) / this.#getShare(pool));
        const nodes = getNodes();
        const near = nodes.filter(node => node.failureDomain === failureDomain);
        const ranked = (near.length > 0 ? near : nodes).map(node => ({ node, rank: getRank(id, node.id) }));
        ranked.sort((first, second) => second.rank - first.rank);
        return ranked.slice(0, count).map(({ node }) => node);
    }
}
