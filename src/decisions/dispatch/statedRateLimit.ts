/**
 * Limits the requests that all nodes together send to an upstream that states a rate limit.
 *
 * A few nodes hold equal shares of the rate and space their requests evenly; the others send the upstream nothing. In any span of
 * time the nodes together exceed the rate by at most one request for each holder.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { LimitedUpstream, SendLimit } from "./sendLimit.js";
import { type ShareHolder, ShareHolders } from "./shareHolders.js";

/** Holders of a small rate. Some of them may be down, or have no requests for the upstream. */
const minHolders = 2;
/** Requests a second for which there is one more holder. */
const requestsPerSecondPerHolder = 2;
/** Time without a request of this node after which its share is due. */
const dueMilliseconds = 2_000;
/** Rate at which an upstream that takes nothing is asked whether it still states that. */
const minRequestsPerSecond = 0.25;

/** The rates that upstreams state, by identifier. */
export interface StatedRates {
    /** Returns the requests a second that an upstream takes from all nodes together, or infinity. */
    get(upstream: string): number;
    /** Returns the identifiers of the upstreams that state a rate. */
    getLimited(): ReadonlySet<string>;
    /** Removes what is known of an upstream. */
    remove(upstream: string): void;
}

/** Options of `StatedRateLimit`. */
export interface StatedRateLimitOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Identifier of this node. */
    readonly self: string;
    readonly rates: StatedRates;
    /** Returns all nodes that may send requests, including this one. */
    readonly getNodes: () => readonly ShareHolder[];
    /** Returns whether this node knows the other nodes. Otherwise it holds no share: others may hold all of them. */
    readonly mayHold: () => boolean;
}

/** The shares that this node holds of the rates that upstreams state. */
export interface RateShares {
    /** Returns the identifiers of the upstreams that state a rate. */
    getLimited(): ReadonlySet<string>;
    /**
     * Returns whether a request should go to an upstream next: this node holds a share of its rate and has not used it for a while.
     * In a large fleet the few holders may have other upstreams that suit their requests better. The upstream would then get nothing,
     * and nobody would learn that it no longer states a rate.
     */
    isDue(upstream: LimitedUpstream): boolean;
}

/** Decides whether this node may send a request to an upstream that states a rate limit. */
export class StatedRateLimit implements SendLimit, RateShares {
    readonly #options: StatedRateLimitOptions;
    readonly #holders: ShareHolders;
    /** Monotonic time of this node's last request to each upstream. */
    readonly #sentAt = new Map<string, number>();

    constructor(options: StatedRateLimitOptions) {
        this.#options = options;
        this.#holders = new ShareHolders(options);
    }

    isAdmitted(upstream: LimitedUpstream): boolean {
        if (this.#options.rates.get(upstream.id) === Number.POSITIVE_INFINITY) {
            this.#sentAt.delete(upstream.id);
            return true;
        }
        return this.#isShareFree(upstream, 0);
    }

    isDue(upstream: LimitedUpstream): boolean {
        return this.#options.rates.getLimited().has(upstream.id) && this.#isShareFree(upstream, dueMilliseconds);
    }

    getLimited(): ReadonlySet<string> {
        return this.#options.rates.getLimited();
    }

    add({ id }: LimitedUpstream): void {
        if (this.#sentAt.has(id)) {
            this.#sentAt.set(id, this.#options.clock.monotonic());
        }
    }

    remove(upstream: string): void {
        this.#options.rates.remove(upstream);
        this.#holders.remove(upstream);
        this.#sentAt.delete(upstream);
    }

    /** Returns whether this node holds a share, and its last request was long enough ago. */
    #isShareFree(upstream: LimitedUpstream, minMilliseconds: number): boolean {
        if (!this.#options.mayHold()) {
            return false;
        }
        const rate = Math.max(minRequestsPerSecond, this.#options.rates.get(upstream.id));
        const maxHolders = minHolders + Math.floor(rate / requestsPerSecondPerHolder);
        const { isHolder, holders } = this.#holders.get(upstream, maxHolders);
        const intervalMilliseconds = 1_000 * holders / rate;
        return isHolder
            && this.#getTimeSinceLast(upstream.id, intervalMilliseconds)
                >= Math.max(minMilliseconds, intervalMilliseconds);
    }

    /** Returns the time since this node's last request. A random one is assumed for the first, as holders would else send theirs at once. */
    #getTimeSinceLast(id: string, intervalMilliseconds: number): number {
        const now = this.#options.clock.monotonic();
        const known = this.#sentAt.get(id);
        if (known !== undefined) {
            return now - known;
        }
        const assumed = this.#options.random.next() * intervalMilliseconds;
        this.#sentAt.set(id, now - assumed);
        return assumed;
    }
}
