/**
 * The choice of an upstream for a request, among those that are registered.
 */
import type { Clock } from "../../common/index.js";
import type { RegisteredUpstream } from "../../fleet/index.js";
import { getRank } from "../placement/rendezvous.js";
import { type CallOutcome, type ReportedRequests, UpstreamStatus } from "./upstreamStatus.js";

/** At most this part of a pool is ejected; beyond it the fault is hardly that of single upstreams. */
const mostEjectedShare = 0.5;
/** An upstream counts as full at this part of its slots, in the own failure domain and by affinity. */
const fullShare = 0.9;
/** An upstream is passed over by affinity when it has so many times the mean load of its pool. */
const crowdedFactor = 1.5;
/** Requests beyond the mean that are always allowed: with few requests the factor alone would spread every group. */
const crowdedSlack = 3;

/** What an upstream is chosen for. */
export interface PickOptions {
    readonly pool: string;
    /** The upstreams that may serve it. */
    readonly candidates: readonly RegisteredUpstream[];
    /** Identifiers that were tried in vain. */
    readonly excluded: ReadonlySet<string>;
    /** Requests with the same key go to the same upstream while it has room, on every node alike. */
    readonly affinityKey: string | undefined;
}

/** An upstream that was picked. */
export interface Pick {
    readonly upstream: RegisteredUpstream;
    /** For logs. */
    readonly reason: "affinity" | "least-loaded" | "ejected";
    /** Requests expected to be there, in parts of its slots. */
    readonly load: number;
}

/** Picks upstreams for one node and keeps what it learns of them. */
export class UpstreamPicker {
    readonly #clock: Clock;
    readonly #failureDomain: string;
    readonly #onEject: (upstream: string, milliseconds: number) => void;
    readonly #statuses = new Map<string, UpstreamStatus>();

    constructor(options: {
        readonly clock: Clock;
        /** Failure domain of this node. */
        readonly failureDomain: string;
        readonly onEject: (upstream: string, milliseconds: number) => void;
    }) {
        this.#clock = options.clock;
        this.#failureDomain = options.failureDomain;
        this.#onEject = options.onEject;
    }

    /**
     * Picks an upstream.
     * @returns Undefined when no candidate is left.
     */
    pick(options: PickOptions): Pick | undefined {
        const now = this.#clock.monotonic();
        const untried = options.candidates.filter(upstream => !options.excluded.has(upstream.id));
        const sound = untried.filter(upstream => !this.#getStatus(upstream.id).isEjected(now));
        if (sound.length === 0) {
            // Trying an ejected upstream beats refusing.
            const upstream = this.#findLeastLoaded(untried, now);
            return upstream && { upstream, reason: "ejected", load: this.#getLoad(upstream, now) };
        }
        const near = sound.filter(upstream => upstream.failureDomain === this.#failureDomain);
        const groups = near.length > 0 && near.length < sound.length ? [near, sound] : [sound];
        for (const group of groups) {
            const upstream = options.affinityKey === undefined
                ? this.#findRoomy(group, now)
                : this.#findByAffinity(group, options.affinityKey, now);
            if (upstream !== undefined) {
                const reason = options.affinityKey === undefined ? "least-loaded" : "affinity";
                return { upstream, reason, load: this.#getLoad(upstream, now) };
            }
        }
        const upstream = this.#findLeastLoaded(sound, now);
        return upstream && { upstream, reason: "least-loaded", load: this.#getLoad(upstream, now) };
    }

    /**
     * Notes a call that begins.
     * @param upstream - Identifier of the upstream.
     */
    begin(upstream: string): void {
        this.#getStatus(upstream).begin();
    }

    /**
     * Notes the load that came with an answer.
     * @param upstream - Identifier of the upstream.
     * @param load - The load.
     */
    report(upstream: string, load: ReportedRequests): void {
        this.#getStatus(upstream).report(load, this.#clock.monotonic());
    }

    /**
     * Notes a call that ended.
     * @param upstream - The upstream.
     * @param outcome - How the call ended.
     * @param pool - The upstreams of its pool.
     */
    finish(upstream: RegisteredUpstream, outcome: CallOutcome, pool: readonly RegisteredUpstream[]): void {
        const status = this.#getStatus(upstream.id);
        const now = this.#clock.monotonic();
        status.finish(outcome);
        if (outcome === "ok" || status.isEjected(now) || !status.isOutlier(this.#getFailureRate(pool, upstream))) {
            return;
        }
        const ejected = pool.filter(other => this.#getStatus(other.id).isEjected(now)).length;
        if ((ejected + 1) / Math.max(1, pool.length) <= mostEjectedShare) {
            this.#onEject(upstream.id, status.eject(now));
        }
    }

    /**
     * Forgets what was learned of an upstream.
     * @param upstream - Its identifier.
     */
    forget(upstream: string): void {
        this.#statuses.delete(upstream);
    }

    #getStatus(id: string): UpstreamStatus {
        let status = this.#statuses.get(id);
        if (status === undefined) {
            status = new UpstreamStatus();
            this.#statuses.set(id, status);
        }
        return status;
    }

    #getLoad(upstream: RegisteredUpstream, now: number): number {
        return this.#getStatus(upstream.id).getRequests(now) / upstream.slots;
    }

    /** Failure rate of the pool's other upstreams: faults that all of them have are the pool's, not one upstream's. */
    #getFailureRate(pool: readonly RegisteredUpstream[], except: RegisteredUpstream): number {
        const others = pool.filter(upstream => upstream.id !== except.id);
        let sum = 0;
        for (const upstream of others) {
            sum += this.#getStatus(upstream.id).getFailureRate();
        }
        return others.length === 0 ? 1 : sum / others.length;
    }

    #findByAffinity(
        group: readonly RegisteredUpstream[],
        key: string,
        now: number,
    ): RegisteredUpstream | undefined {
        const loads = new Map(group.map(upstream => [upstream.id, this.#getLoad(upstream, now)]));
        const mean = sum(loads.values()) / group.length;
        const ranked = group
            .map(upstream => ({ upstream, rank: getRank(key, upstream.id) }))
            .sort((first, second) => second.rank - first.rank);
        for (const { upstream } of ranked) {
            const load = loads.get(upstream.id) ?? 0;
            const crowded = mean * crowdedFactor + crowdedSlack / upstream.slots;
            if (load < fullShare && load <= crowded) {
                return upstream;
            }
        }
        return undefined;
    }

    #findRoomy(group: readonly RegisteredUpstream[], now: number): RegisteredUpstream | undefined {
        const least = this.#findLeastLoaded(group, now);
        return least !== undefined && this.#getLoad(least, now) < fullShare ? least : undefined;
    }

    #findLeastLoaded(group: readonly RegisteredUpstream[], now: number): RegisteredUpstream | undefined {
        let best: RegisteredUpstream | undefined;
        let bestLoad = Number.POSITIVE_INFINITY;
        for (const upstream of group) {
            // A tie is broken at random, or every node would send its first request to the same upstream.
            const load = this.#getLoad(upstream, now) + Math.random() * 0.01;
            if (load < bestLoad) {
                best = upstream;
                bestLoad = load;
            }
        }
        return best;
    }
}

function sum(values: Iterable<number>): number {
    let total = 0;
    for (const value of values) {
        total += value;
    }
    return total;
}
