/**
 * Limits the requests that upstreams have to reject for want of room, for all nodes together and without communication.
 *
 * An upstream may state how many rejections in a second it bears; with more it fails. A request that finds room by this node's
 * newest report is sent as usual. Any other may be rejected: each node spaces these so that those of all nodes together stay below
 * half of what the upstream bears.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { LimitedUpstream, SendLimit } from "./sendLimit.js";

/** Share of an upstream's slots up to which its newest report shows room. Other nodes read the same report. */
const roomShare = 0.8;
/** Average load of a pool's upstreams, as a share of their slots, up to which one without a recent report has room as well. */
const calmLoad = 0.6;
/** Weight of the newest report in that average. */
const reportWeight = 0.3;
/** Age from which a report shows nothing. */
const maxReportMilliseconds = 1_000;
/** Share of the rejections that an upstream bears which nodes may cause. */
const usedShare = 0.5;
/** Rejections a second that an upstream bears at least. Without any, nobody would learn that it has room again. */
const minRejectionsPerSecond = 0.5;

/** What an answer or a rejection states of its upstream. */
export interface RejectionStatement {
    readonly upstream: string;
    readonly pool: string;
    /** Rejections a second that the upstream bears, infinity if it states none, undefined if nothing is certain. */
    readonly rejectionsPerSecond: number | undefined;
    /** Whether the request was rejected for want of room. */
    readonly isRejection: boolean;
    readonly load: { readonly requests: number; readonly slots: number; } | undefined;
}

interface KnownUpstream {
    rejectionsPerSecond: number;
    /** Monotonic time of the newest report. */
    reportedAt: number;
    /** Requests for which there was room at that time. */
    room: number;
    /** Requests that this node has sent since. */
    sent: number;
    /** Monotonic time from which a request may be sent that may be rejected. */
    nextUncertainAt: number;
}

/** Load of a pool's upstreams by the newest reports of any of them. */
interface PoolLoad {
    /** Share of their slots. */
    readonly average: number;
    /** Monotonic time of the newest report. */
    readonly reportedAt: number;
}

/** Options of `RejectionLimit`. */
export interface RejectionLimitOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the number of nodes that send requests, including this one. */
    readonly getNodeCount: () => number;
}

/** Decides whether this node may send a request to an upstream that fails when it rejects too many. */
export class RejectionLimit implements SendLimit {
    readonly #options: RejectionLimitOptions;
    readonly #known = new Map<string, KnownUpstream>();
    readonly #pools = new Map<string, PoolLoad>();

    constructor(options: RejectionLimitOptions) {
        this.#options = options;
    }

    /** Returns whether an upstream states how many rejections it bears. */
    isLimited(upstream: string): boolean {
        return this.#known.has(upstream);
    }

    /** Returns the number of upstreams that state how many rejections they bear. */
    count(): number {
        return this.#known.size;
    }

    /** Records what an answer or a rejection states. */
    observe({ upstream, pool, rejectionsPerSecond, isRejection, load }: RejectionStatement): void {
        if (rejectionsPerSecond === Number.POSITIVE_INFINITY) {
            this.#known.delete(upstream);
            return;
        }
        const known = this.#known.get(upstream) ?? this.#add(upstream, rejectionsPerSecond);
        if (known === undefined) {
            return;
        }
        const now = this.#options.clock.monotonic();
        known.rejectionsPerSecond = rejectionsPerSecond ?? known.rejectionsPerSecond;
        this.#addPoolLoad(pool, isRejection || load === undefined ? 1 : load.requests / load.slots);
        known.reportedAt = now;
        known.sent = 0;
        known.room = isRejection ? 0 : getRoom(load);
    }

    isAdmitted({ id, pool }: LimitedUpstream): boolean {
        const known = this.#known.get(id);
        return known === undefined
            || this.#hasRoom(known, pool)
            || this.#options.clock.monotonic() >= known.nextUncertainAt;
    }

    add({ id, pool }: LimitedUpstream): void {
        const known = this.#known.get(id);
        if (known === undefined) {
            return;
        }
        if (!this.#hasRoom(known, pool)) {
            known.nextUncertainAt = this.#options.clock.monotonic() + this.#getInterval(known.rejectionsPerSecond);
        }
        known.sent += 1;
    }

    remove(upstream: string): void {
        this.#known.delete(upstream);
    }

    #add(upstream: string, rejectionsPerSecond: number | undefined): KnownUpstream | undefined {
        if (rejectionsPerSecond === undefined) {
            return undefined;
        }
        const { clock, random } = this.#options;
        // Nodes that learn of the statement at one moment would otherwise send their first uncertain requests together.
        const nextUncertainAt = clock.monotonic() + random.next() * this.#getInterval(rejectionsPerSecond);
        const known = { rejectionsPerSecond, reportedAt: 0, room: 0, sent: 0, nextUncertainAt };
        this.#known.set(upstream, known);
        return known;
    }

    /** Returns whether the newest report shows room or, where that is old, one of another upstream of the pool does. */
    #hasRoom({ reportedAt, room, sent }: KnownUpstream, pool: string): boolean {
        const now = this.#options.clock.monotonic();
        if (now - reportedAt <= maxReportMilliseconds) {
            return sent < room;
        }
        const poolLoad = this.#pools.get(pool);
        const isCalm = poolLoad !== undefined
            && poolLoad.average <= calmLoad
            && now - poolLoad.reportedAt <= maxReportMilliseconds;
        return isCalm && sent === 0;
    }

    #addPoolLoad(pool: string, load: number): void {
        const average = this.#pools.get(pool)?.average ?? load;
        this.#pools.set(pool, {
            average: average + reportWeight * (load - average),
            reportedAt: this.#options.clock.monotonic(),
        });
    }

    /** Returns the time between two of this node's requests that may be rejected, in milliseconds. */
    #getInterval(rejectionsPerSecond: number): number {
        const allowed = usedShare * Math.max(minRejectionsPerSecond, rejectionsPerSecond);
        return 1_000 * this.#options.getNodeCount() / allowed;
    }
}

/** Returns the requests for which an upstream has room. An answer without a report shows that it had room for one. */
function getRoom(load: RejectionStatement["load"]): number {
    return load === undefined ? 1 : Math.floor(load.slots * roomShare - load.requests);
}
