/**
 * Limits of the requests that a node sends to an upstream, and their combination.
 */

/** An upstream whose requests are limited. */
export interface LimitedUpstream {
    readonly id: string;
    readonly pool: string;
    readonly failureDomain: string;
}

/** Limits the requests that this node sends to upstreams. */
export interface SendLimit<Upstream extends LimitedUpstream = LimitedUpstream> {
    /** Returns whether this node may send a request to an upstream now. */
    isAdmitted(upstream: Upstream): boolean;
    /** Records a request that is sent to an upstream. */
    add(upstream: Upstream): void;
    /** Removes what is known of an upstream, given by its identifier. */
    remove(upstream: string): void;
}

/** Applies several limits together. */
export class SendLimits<Upstream extends LimitedUpstream> implements SendLimit<Upstream> {
    readonly #limits: readonly SendLimit<Upstream>[];

    /** @param limits - A request needs the admission of each of them. */
    constructor(limits: readonly SendLimit<Upstream>[]) {
        this.#limits = limits;
    }

    isAdmitted(upstream: Upstream): boolean {
        return this.#limits.every(limit => limit.isAdmitted(upstream));
    }

    add(upstream: Upstream): void {
        for (const limit of this.#limits) {
            limit.add(upstream);
        }
    }

    remove(upstream: string): void {
        for (const limit of this.#limits) {
            limit.remove(upstream);
        }
    }
}
