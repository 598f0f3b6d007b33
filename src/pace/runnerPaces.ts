/**
 * Knows the paces of upstreams, from the samples of this node and the digests of the others.
 */
import type { Clock, RandomSource } from "../common/index.js";
import type { Paces } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import { DigestPublisher, type TellablePace } from "./digestPublisher.js";
import { HeardPaces } from "./heardPaces.js";
import { IncarnationKeys } from "./incarnation.js";
import { LocalPaces } from "./localPaces.js";
import { insertByPace, type MergedPace, mergePaces, type PaceEstimate } from "./mergePaces.js";
import { classifyPace, type PaceClass } from "./paceClass.js";
import type { PaceDigest } from "./paceDigest.js";

/** Time for which merged paces are used, in milliseconds. */
const mergeIntervalMilliseconds = 500;
/** Slowdown up to which pauses say something of the pace. */
const maxSlowdown = 1.1;
/** Standard errors by which a pace has to be beyond the bound of its class, to be logged. */
const certainErrors = 2;
/** Number of samples that this node has to have measured itself. */
const minOwnWeight = 1;

/** What an upstream is identified by, and compared within. */
export type PacedUpstream = Pick<RegisteredUpstream, "address" | "id" | "pool" | "startedAt">;

/** A measured time of an upstream's work. */
export interface WorkTime {
    /** `pause` for pauses between parts of a stream, `head` for the time to the head of a short answer. */
    readonly kind: "head" | "pause";
    /** Model or route: only times for the same work are compared. */
    readonly work: string;
    readonly milliseconds: number;
    /** The load that the upstream reported with the answer. */
    readonly load:
        | {
            readonly running: number;
            readonly waiting: number;
            readonly slots: number;
            readonly slowdown?: number | undefined;
        }
        | undefined;
}

/** The paces within a pool. */
export interface PoolSummary {
    readonly pool: string;
    readonly slowest: number;
    readonly fastest: number;
    /** Number of upstreams whose pace was measured. */
    readonly known: number;
}

/** Options of `RunnerPaces`. */
export interface RunnerPacesOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly journal: Journal;
    /** Returns all registered upstreams. */
    readonly getUpstreams: () => Iterable<PacedUpstream>;
    /** Returns the number of nodes, this one among them. */
    readonly getNodeCount: () => number;
    /** Sends a digest to the other nodes. */
    readonly publish: (digest: Buffer, isUrgent: boolean) => void;
}

interface KnownPace {
    readonly pool: string;
    readonly pace: number;
}

/** Learns paces. */
export class RunnerPaces implements Paces {
    readonly #options: RunnerPacesOptions;
    readonly #keys = new IncarnationKeys();
    readonly #local = new LocalPaces();
    readonly #heard: HeardPaces;
    readonly #publisher: DigestPublisher;
    readonly #classes = new Map<string, PaceClass>();
    /** By identifier. */
    #paces: ReadonlyMap<string, KnownPace> = new Map();
    /** By key of the incarnation. */
    #logPaces: ReadonlyMap<number, number> = new Map();
    #mergedAt = Number.NEGATIVE_INFINITY;

    constructor(options: RunnerPacesOptions) {
        this.#options = options;
        this.#heard = new HeardPaces(options.clock);
        this.#publisher = new DigestPublisher(options);
    }

    getPace(upstream: string): number {
        this.#update();
        return this.#paces.get(upstream)?.pace ?? 1;
    }

    /** Returns the slowest and the fastest pace of each pool with known ones. */
    summarize(): readonly PoolSummary[] {
        this.#update();
        const pools = new Map<string, PoolSummary>();
        for (const { pool, pace } of this.#paces.values()) {
            const known = pools.get(pool) ?? { pool, slowest: pace, fastest: pace, known: 0 };
            pools.set(pool, {
                pool,
                slowest: Math.max(known.slowest, pace),
                fastest: Math.min(known.fastest, pace),
                known: known.known + 1,
            });
        }
        return [...pools.values()];
    }

    /**
     * Adds a measured time. Those of a moment at which the upstream was slowed down, or in which work was queued, are left out.
     * @param upstream - The upstream, which does not warm up.
     * @param time - The time.
     */
    add(upstream: PacedUpstream, { kind, work, milliseconds, load }: WorkTime): void {
        const slowdown = load?.slowdown ?? 1;
        const isPassing = kind === "pause" ? slowdown > maxSlowdown : (load?.waiting ?? 0) > 0;
        if (isPassing || !(milliseconds > 0) || !this.#isRegistered(upstream)) {
            return;
        }
        this.#local.add({
            key: this.#keys.get(upstream),
            pool: upstream.pool,
            kind: `${kind} ${work}`,
            milliseconds: milliseconds / (kind === "head" ? slowdown : 1),
            fill: load === undefined ? 0 : load.running / load.slots,
        }, this.#options.clock.monotonic());
        this.#update();
    }

    /** Adds what another node has measured. */
    merge(origin: string, digest: PaceDigest): void {
        this.#heard.set(origin, digest);
    }

    /**
     * Removes what is known of an upstream.
     * @param upstream - Its identifier.
     */
    remove(upstream: string): void {
        const key = this.#keys.remove(upstream);
        if (key !== undefined) {
            this.#local.remove(key);
        }
        this.#classes.delete(upstream);
        const paces = new Map(this.#paces);
        paces.delete(upstream);
        this.#paces = paces;
    }

    /** Returns whether an incarnation is registered. The end of an answer may come after its upstream was removed. */
    #isRegistered(upstream: PacedUpstream): boolean {
        if (this.#keys.has(upstream)) {
            return true;
        }
        for (const { id, address, startedAt } of this.#options.getUpstreams()) {
            if (id === upstream.id) {
                return address === upstream.address && startedAt === upstream.startedAt;
            }
        }
        return false;
    }

    #update(): void {
        const now = this.#options.clock.monotonic();
        if (now - this.#mergedAt < mergeIntervalMilliseconds) {
            return;
        }
        this.#mergedAt = now;
        const own = this.#local.estimate(now, key => this.#logPaces.get(key) ?? 0);
        const heard = this.#heard.collect();
        const upstreams = [...this.#options.getUpstreams()];
        if (own.size === 0 && heard.size === 0 && this.#paces.size === 0) {
            return;
        }
        const paces = new Map<string, KnownPace>();
        const logPaces = new Map<number, number>();
        const others = new Map<number, TellablePace>();
        for (const [pool, members] of groupByPool(upstreams)) {
            const keys = members.map(upstream => this.#keys.get(upstream));
            const ofAll = mergePaces(selectEstimates(keys, heard, own), this.#local.getVariance(pool));
            const ofOthers = mergePaces(selectEstimates(keys, heard), ofAll.variance);
            for (const [index, upstream] of members.entries()) {
                const key = keys[index];
                const pace = ofAll.paces.get(key);
                this.#setClass(upstream, pace, own.get(key)?.weight ?? 0);
                if (pace !== undefined) {
                    paces.set(upstream.id, { pool, pace: Math.exp(pace.logPace) });
                    logPaces.set(key, pace.logPace);
                }
                const known = ofOthers.paces.get(key);
                others.set(key, { median: known?.median ?? 0, weight: known?.weight ?? 0, variance: ofAll.variance });
            }
        }
        this.#paces = paces;
        this.#logPaces = logPaces;
        const nodeCount = this.#options.getNodeCount();
        this.#publisher.update({ own, others, nodeCount, upstreamCount: upstreams.length });
    }

    /** Logs a change of class. Nodes that have not measured an upstream by themselves leave that to the others. */
    #setClass({ id, pool }: PacedUpstream, merged: MergedPace | undefined, ownWeight: number): void {
        const known = this.#classes.get(id) ?? "usual";
        const { logPace, weight, error } = merged ?? { logPace: 0, weight: 0, error: 0 };
        const pace = Math.exp(logPace);
        const next = classifyPace(pace, known);
        const isCertain = next === classifyPace(Math.exp(logPace - Math.sign(logPace) * certainErrors * error), known);
        if (next === known || next !== "usual" && (!isCertain || ownWeight < minOwnWeight)) {
            return;
        }
        this.#classes.set(id, next);
        this.#options.journal.write(events.paceChanged, {
            upstream: id,
            pool,
            class: next,
            before: known,
            pace: Number(pace.toFixed(2)),
            samples: Math.round(weight),
        });
    }
}

function groupByPool(upstreams: readonly PacedUpstream[]): ReadonlyMap<string, readonly PacedUpstream[]> {
    const pools = new Map<string, PacedUpstream[]>();
    for (const upstream of upstreams) {
        const members = pools.get(upstream.pool);
        if (members === undefined) {
            pools.set(upstream.pool, [upstream]);
        }
        else {
            members.push(upstream);
        }
    }
    return pools;
}

function selectEstimates(
    keys: readonly number[],
    heard: ReadonlyMap<number, readonly PaceEstimate[]>,
    own: ReadonlyMap<number, PaceEstimate> = new Map(),
): ReadonlyMap<number, readonly PaceEstimate[]> {
    const selected = new Map<number, readonly PaceEstimate[]>();
    for (const key of keys) {
        const ofOthers = heard.get(key) ?? [];
        const ofSelf = own.get(key);
        const all = [...ofOthers];
        if (ofSelf !== undefined) {
            insertByPace(all, ofSelf);
        }
        if (all.length > 0) {
            selected.set(key, all);
        }
    }
    return selected;
}
