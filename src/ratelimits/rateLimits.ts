/**
 * Tracks which upstreams state a rate limit.
 *
 * An upstream in need states with its answers how many requests a second it takes from all nodes together, for as long as it states
 * that. An answer without a limit ends it.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";

/** The rate of an upstream that states no limit. */
export const unlimitedRate = Number.POSITIVE_INFINITY;
/** Maximum relative change of a stated rate that is ignored. */
const ignoredChange = 0.1;

/** What an answer states about the rate limit of its upstream. */
export interface RateStatement {
    /** Identifier of the upstream. */
    readonly upstream: string;
    /** Requests a second from all nodes together, or `unlimitedRate`. */
    readonly requestsPerSecond: number;
    /** Monotonic time at which the answered request was sent. */
    readonly sentAt: number;
}

interface RateLimit {
    readonly requestsPerSecond: number;
    /** Monotonic time of the last answer that stated a limit, or of the one that ended it. */
    readonly knownAt: number;
}

/** Options of `RateLimits`. */
export interface RateLimitsOptions {
    readonly clock: Clock;
    readonly journal: Journal;
}

/** Knows the rate limits that upstreams have stated to this node. */
export class RateLimits {
    readonly #options: RateLimitsOptions;
    readonly #limits = new Map<string, RateLimit>();

    constructor(options: RateLimitsOptions) {
        this.#options = options;
    }

    /**
     * Returns the requests a second that an upstream takes from all nodes together, or `unlimitedRate`.
     * @param upstream - Its identifier.
     */
    get(upstream: string): number {
        return this.#limits.get(upstream)?.requestsPerSecond ?? unlimitedRate;
    }

    /** Returns the number of upstreams that state a limit. */
    count(): number {
        return [...this.#limits.values()].filter(({ requestsPerSecond }) => requestsPerSecond < unlimitedRate).length;
    }

    /**
     * Adds what an answer states. An answer to a request that was sent before the last known statement may be older than that, and is
     * ignored.
     */
    observe({ upstream, requestsPerSecond, sentAt }: RateStatement): void {
        const known = this.#limits.get(upstream);
        if (known === undefined && requestsPerSecond === unlimitedRate) {
            return;
        }
        if (known !== undefined && sentAt < known.knownAt) {
            return;
        }
        const knownRate = known?.requestsPerSecond ?? unlimitedRate;
        const hasChanged = !isSimilar(knownRate, requestsPerSecond);
        this.#limits.set(upstream, {
            requestsPerSecond: hasChanged ? requestsPerSecond : knownRate,
            knownAt: this.#options.clock.monotonic(),
        });
        if (hasChanged) {
            this.#logChange(upstream, requestsPerSecond);
        }
    }

    /**
     * Removes what is known of an upstream.
     * @param upstream - Its identifier.
     */
    remove(upstream: string): void {
        this.#limits.delete(upstream);
    }

    #logChange(upstream: string, requestsPerSecond: number): void {
        const { journal } = this.#options;
        if (requestsPerSecond === unlimitedRate) {
            journal.write(events.upstreamUnlimited, { upstream });
            return;
        }
        journal.write(events.upstreamLimited, { upstream, requestsPerSecond });
    }
}

function isSimilar(known: number, stated: number): boolean {
    return known === stated || Math.abs(known - stated) <= ignoredChange * Math.min(known, stated);
}
