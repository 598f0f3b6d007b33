/**
 * Keeps requests from upstreams that have asked this node for rest, and brings them back step by step.
 *
 * Upstreams that rest have often asked many nodes for it at one moment. Each node therefore waits a random time beyond the end, and
 * then sends one request, and twice as many in each further step.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { LimitedUpstream, SendLimit } from "./sendLimit.js";

/** Part of the rest by which a node waits longer at most, so that the nodes come back one after the other. */
const maxExtraShare = 0.25;
const maxExtraMilliseconds = 2_000;
/** Time of a step in which the requests that were sent since the end may double. An answer takes less. */
const stepMilliseconds = 250;
/** Steps after which nothing is limited any more. */
const steps = 8;

interface Return {
    /** End of the rest that this return follows. */
    readonly restEndsAt: number;
    readonly startsAt: number;
    sent: number;
}

/** Options of `RestLimit`. */
export interface RestLimitOptions<Upstream extends LimitedUpstream> {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the monotonic time at which the rest of an upstream ends or has ended; undefined if it has asked for none. */
    readonly getRestEnd: (upstream: Upstream) => number | undefined;
}

/** Decides whether this node may send a request to an upstream that has asked it for rest. */
export class RestLimit<Upstream extends LimitedUpstream> implements SendLimit<Upstream> {
    readonly #options: RestLimitOptions<Upstream>;
    readonly #returns = new Map<string, Return>();

    constructor(options: RestLimitOptions<Upstream>) {
        this.#options = options;
    }

    isAdmitted(upstream: Upstream): boolean {
        const found = this.#find(upstream);
        if (found === undefined) {
            return true;
        }
        const elapsed = this.#options.clock.monotonic() - found.startsAt;
        return elapsed >= 0 && found.sent < 2 ** Math.floor(elapsed / stepMilliseconds);
    }

    add(upstream: Upstream): void {
        const found = this.#find(upstream);
        if (found !== undefined) {
            found.sent += 1;
        }
    }

    remove(upstream: string): void {
        this.#returns.delete(upstream);
    }

    /** Returns the time after which an upstream may get a request again, in milliseconds; 0 if it may now, or if it does not rest. */
    getWait(upstream: Upstream): number {
        const found = this.#find(upstream);
        return Math.max(0, (found?.startsAt ?? 0) - this.#options.clock.monotonic());
    }

    /** Returns undefined when the upstream has asked for no rest, or has long been back. */
    #find(upstream: Upstream): Return | undefined {
        const { clock, random, getRestEnd } = this.#options;
        const restEndsAt = getRestEnd(upstream);
        if (restEndsAt === undefined) {
            return undefined;
        }
        const now = clock.monotonic();
        let found = this.#returns.get(upstream.id);
        if (found === undefined || found.restEndsAt !== restEndsAt) {
            const extra = Math.min(maxExtraMilliseconds, maxExtraShare * Math.max(0, restEndsAt - now));
            found = { restEndsAt, startsAt: restEndsAt + random.next() * extra, sent: 0 };
            this.#returns.set(upstream.id, found);
        }
        return now - found.startsAt < steps * stepMilliseconds ? found : undefined;
    }
}
