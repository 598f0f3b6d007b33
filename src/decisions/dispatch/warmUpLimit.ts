/**
 * Limits the requests that all nodes together send to an upstream that is warming up, without communication between them.
 *
 * A few nodes, chosen by rank, hold an equal share of the rate that the upstream tolerates; the others send it nothing. The shares
 * add up to less than the tolerated rate, so that nodes whose lists of nodes differ for a moment do not exceed it either.
 */
import type { Clock } from "../../common/index.js";
import type { LimitedUpstream, SendLimit } from "./sendLimit.js";
import { type ShareHolder, ShareHolders } from "./shareHolders.js";

/** Requests that one node sends to an upstream in one window, at most. */
const requestsPerHolder = 2;
/** Longer than the second in which an upstream counts, since requests of one node take unequal times to arrive. */
const windowMilliseconds = 1_100;

/** Options of `WarmUpLimit`. */
export interface WarmUpLimitOptions {
    readonly clock: Clock;
    /** Identifier of this node. */
    readonly self: string;
    /** Returns whether an upstream is warming up. */
    readonly isWarmingUp: (upstream: LimitedUpstream) => boolean;
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

/** Decides whether this node may send a request to an upstream that is warming up. */
export class WarmUpLimit implements SendLimit {
    readonly #options: WarmUpLimitOptions;
    readonly #holders: ShareHolders;
    /** Monotonic times of the requests in the current window, by upstream. */
    readonly #sentAt = new Map<string, readonly number[]>();

    constructor(options: WarmUpLimitOptions) {
        this.#options = options;
        this.#holders = new ShareHolders(options);
    }

    /**
     * Returns whether this node may send a request to an upstream now. A warm upstream has no limit.
     * @param upstream - The upstream.
     */
    isAdmitted(upstream: LimitedUpstream): boolean {
        if (!this.#isLimited(upstream)) {
            return true;
        }
        const share = this.#getShare(upstream.pool);
        if (share === 0 || !this.#options.mayHold()) {
            return false;
        }
        const maxHolders = Math.floor(this.#options.getRequestsPerSecond(upstream.pool) / share);
        return this.#holders.get(upstream, maxHolders).isHolder && this.#getRecent(upstream.id).length < share;
    }

    /**
     * Records a request that is sent to an upstream.
     * @param upstream - The upstream.
     */
    add(upstream: LimitedUpstream): void {
        if (this.#isLimited(upstream)) {
            this.#sentAt.set(upstream.id, [...this.#getRecent(upstream.id), this.#options.clock.monotonic()]);
        }
    }

    /**
     * Removes what is known of an upstream.
     * @param upstream - Identifier of the upstream.
     */
    remove(upstream: string): void {
        this.#holders.remove(upstream);
        this.#sentAt.delete(upstream);
    }

    #isLimited(upstream: LimitedUpstream): boolean {
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
}
