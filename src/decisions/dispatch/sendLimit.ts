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
export interface SendLimit {
    /** Returns whether this node may send a request to an upstream now. */
    isAdmitted(upstream: LimitedUpstream): boolean;
    /** Records a request that is sent to an upstream. */
    add(upstream: LimitedUpstream): void;
    /** Removes what is known of an upstream, given by its identifier. */
    remove(upstream: string): void;
}

/** Applies several limits together. */
export class SendLimits implements SendLimit {
    readonly #limits: readonly SendLimit[];

    /** @param limits - A request needs the admission of each of them. */
    constructor(limits: readonly SendLimit[]) {
        this.#limits = limits;
    }

    isAdmitted(upstream: LimitedUpstream): boolean {
        return this.#limits.every(limit => limit.isAdmitted(upstream));
    }

    add(upstream: LimitedUpstream): void {
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
