/**
 * Tracks which upstreams state a rate limit.
 *
 * An upstream in need states with its answers how many requests a second it takes from all nodes together, for as long as it states
 * that. An answer without a limit ends it. Only a few nodes send requests to such an upstream, so the others learn from them.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { getRate, isNewer, type RateRecord, unlimitedRate } from "./rateRecord.js";

/** Maximum relative change of a stated rate that is ignored. */
const ignoredChange = 0.1;
/** Maximum number of records that one node keeps, and that it publishes. */
const maxRecords = 4_096;
const maxOwnRecords = 256;

/** What an answer states about the rate limit of its upstream. */
export interface RateStatement {
    /** Identifier of the upstream. */
    readonly upstream: string;
    /** Requests a second from all nodes together, or `unlimitedRate`. */
    readonly requestsPerSecond: number;
    /** Monotonic time at which the answered request was sent. */
    readonly sentAt: number;
}

interface KnownRate {
    readonly record: RateRecord;
    /** Monotonic time of the last answer that confirmed the record here, or of its arrival from another node. */
    readonly knownAt: number;
}

/** Options of `RateLimits`. */
export interface RateLimitsOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** Sends the changes that this node has found to the other nodes. */
    readonly publish: (records: readonly RateRecord[]) => void;
}

/** Knows the rate limits of upstreams, from this node's own calls and from the records of the other nodes. */
export class RateLimits {
    readonly #options: RateLimitsOptions;
    /** By upstream, the one that was changed last at the end. */
    readonly #rates = new Map<string, KnownRate>();
    readonly #limited = new Set<string>();
    /** Upstreams whose last known change was found by this node, in the order of their changes. */
    readonly #own = new Set<string>();

    constructor(options: RateLimitsOptions) {
        this.#options = options;
    }

    /**
     * Returns the requests a second that an upstream takes from all nodes together, or `unlimitedRate`.
     * @param upstream - Its identifier.
     */
    get(upstream: string): number {
        return getRate(this.#rates.get(upstream)?.record);
    }

    /** Returns the number of upstreams that state a limit. */
    count(): number {
        return this.#limited.size;
    }

    /** Returns the identifiers of the upstreams that state a limit. */
    getLimited(): ReadonlySet<string> {
        return this.#limited;
    }

    /**
     * Adds what an answer states. An answer to a request that was sent before the last known statement may be older than that, and is
     * ignored.
     */
    observe({ upstream, requestsPerSecond, sentAt }: RateStatement): void {
        const known = this.#rates.get(upstream);
        if (
            known === undefined && requestsPerSecond === unlimitedRate || known !== undefined && sentAt < known.knownAt
        ) {
            return;
        }
        if (known !== undefined && isSimilar(getRate(known.record), requestsPerSecond)) {
            this.#rates.set(upstream, { record: known.record, knownAt: this.#options.clock.monotonic() });
            return;
        }
        const change = Math.max((known?.record.change ?? -1) + 1, Math.floor(this.#options.clock.wall()));
        const rate = requestsPerSecond === unlimitedRate ? undefined : requestsPerSecond;
        this.#set({ upstream, change, requestsPerSecond: rate }, "answer");
        this.#own.delete(upstream);
        this.#own.add(upstream);
        this.#publish();
    }

    /** Adds the changes that another node has found. */
    merge(records: readonly RateRecord[]): void {
        for (const record of records) {
            if (isNewer(record, this.#rates.get(record.upstream)?.record)) {
                this.#own.delete(record.upstream);
                this.#set(record, "peer");
            }
        }
    }

    /**
     * Removes what is known of an upstream.
     * @param upstream - Its identifier.
     */
    remove(upstream: string): void {
        this.#rates.delete(upstream);
        this.#limited.delete(upstream);
        if (this.#own.delete(upstream)) {
            // Nodes that start later would otherwise learn of the limit of an upstream that is gone, and never forget it.
            this.#publish();
        }
    }

    #set(record: RateRecord, source: "answer" | "peer"): void {
        const { clock, journal } = this.#options;
        const { upstream, requestsPerSecond } = record;
        const hasChanged = getRate(record) !== this.get(upstream);
        this.#rates.delete(upstream);
        this.#rates.set(upstream, { record, knownAt: clock.monotonic() });
        this.#limited.delete(upstream);
        if (requestsPerSecond !== undefined) {
            this.#limited.add(upstream);
        }
        this.#removeOldest();
        if (hasChanged && requestsPerSecond === undefined) {
            journal.write(events.upstreamUnlimited, { upstream, source });
        }
        else if (hasChanged) {
            journal.write(events.upstreamLimited, { upstream, requestsPerSecond, source });
        }
    }

    #removeOldest(): void {
        for (const upstream of this.#rates.keys()) {
            if (this.#rates.size <= maxRecords) {
                return;
            }
            this.remove(upstream);
        }
    }

    #publish(): void {
        const own: RateRecord[] = [];
        for (const upstream of [...this.#own].slice(-maxOwnRecords)) {
            const known = this.#rates.get(upstream);
            if (known !== undefined) {
                own.push(known.record);
            }
        }
        this.#options.publish(own);
    }
}

function isSimilar(known: number, stated: number): boolean {
    return known === stated || Math.abs(known - stated) <= ignoredChange * Math.min(known, stated);
}
