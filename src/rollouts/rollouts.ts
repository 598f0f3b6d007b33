/**
 * All roll-outs as one node sees them: it chooses versions by them, gathers evidence, and takes them further.
 *
 * Every node can take the next step. The store takes each step once; nodes wait in the order of their rank, so that usually only
 * the first one writes.
 */
import { events } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { PinReport } from "./pinnedSessions.js";
import { PoolRollout } from "./poolRollout.js";
import { PoolSessions } from "./poolSessions.js";
import type { RolloutOrder, RolloutProgress } from "./rollout.js";
import type { EvidenceAnswer } from "./rolloutEvidence.js";
import type { RolloutsOptions } from "./rolloutsOptions.js";
import { VersionPartitions } from "./versionPartitions.js";
import type { VersionSelection } from "./versionSelection.js";

const tickMilliseconds = 200;

/** Handles the roll-outs of all pools. */
export class Rollouts {
    readonly #options: RolloutsOptions;
    /** By pool. */
    readonly #rollouts = new Map<string, PoolRollout>();
    /** By pool: progress of an order that this node has not heard of yet. */
    readonly #pendingProgress = new Map<string, RolloutProgress>();
    /** By pool: versions that serve nothing any more. A set that changes is another set. */
    readonly #revertedVersions = new Map<string, ReadonlySet<string>>();
    /** By pool. */
    readonly #sessions = new Map<string, PoolSessions>();
    readonly #partitions = new VersionPartitions();
    #timer: NodeJS.Timeout | undefined;
    #ticks = 0;

    constructor(options: RolloutsOptions) {
        this.#options = options;
    }

    /** Begins to take steps. */
    start(): void {
        this.#timer = setInterval(() => this.tick(), tickMilliseconds);
    }

    /** Ends taking steps. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Takes in an operator's order. */
    setOrder(order: RolloutOrder): void {
        const { id, pool, version } = order;
        const known = this.#rollouts.get(pool);
        if (known !== undefined && known.order.id >= id) {
            return;
        }
        this.#rollouts.set(pool, new PoolRollout(this.#options, order, this.#getSessions(pool)));
        this.#clearReverted(order);
        this.#options.journal.write(events.rolloutOrdered, { rollout: pool, version, order: id });
        const pending = this.#pendingProgress.get(pool);
        if (pending !== undefined) {
            this.setProgress(pool, pending);
        }
    }

    /** A version that was reverted may be ordered again. */
    #clearReverted({ pool, version }: RolloutOrder): void {
        const remaining = [...this.#revertedVersions.get(pool) ?? []].filter(reverted => reverted !== version);
        this.#revertedVersions.set(pool, new Set(remaining));
    }

    /** Takes in how far a pool's roll-out has come. */
    setProgress(pool: string, progress: RolloutProgress): void {
        if (progress.state === "reverted") {
            this.#revertedVersions.set(pool, new Set([...this.#revertedVersions.get(pool) ?? [], progress.version]));
        }
        const rollout = this.#rollouts.get(pool);
        if (rollout === undefined || rollout.order.id !== progress.order) {
            this.#pendingProgress.set(pool, progress);
            return;
        }
        rollout.setProgress(progress);
    }

    /** Takes in which sessions of a pool are pinned at a node. */
    setPins(pool: string, origin: string, report: PinReport): void {
        this.#getSessions(pool).setReport(origin, report);
    }

    /** Takes in that another node found a pool's roll-out bad. */
    setHalted(pool: string, order: number): void {
        const rollout = this.#rollouts.get(pool);
        if (rollout !== undefined && rollout.order.id === order) {
            rollout.halt("heard from a peer");
        }
    }

    /**
     * Returns the upstreams that may serve a request.
     * @param pool - The pool.
     * @param session - The session, or whatever identifies the request.
     * @param upstreams - The pool's upstreams that take requests.
     */
    select(pool: string, session: string, upstreams: readonly RegisteredUpstream[]): VersionSelection {
        const rollout = this.#rollouts.get(pool);
        const partition = this.#partitions.get(upstreams, {
            reverted: this.#revertedVersions.get(pool),
            candidate: rollout?.order.version,
        });
        return rollout?.select(session, partition) ?? { upstreams: partition.eligible, reason: undefined };
    }

    /**
     * Notes a request that is sent to an upstream.
     * @param upstream - The upstream.
     * @param session - Its session; undefined when it belongs to none.
     * @returns Is to be called when it has ended.
     */
    startRequest(upstream: RegisteredUpstream, session: string | undefined): () => void {
        const endRolloutRequest = this.#rollouts.get(upstream.pool)?.startRequest(upstream, session);
        if (session === undefined) {
            return () => endRolloutRequest?.();
        }
        const sessions = this.#getSessions(upstream.pool);
        sessions.startRequest(session, upstream.version);
        return () => {
            endRolloutRequest?.();
            sessions.endRequest(session);
        };
    }

    /**
     * Takes in how an upstream answered.
     * @param upstream - The upstream.
     * @param answer - How it answered.
     */
    addAnswer(upstream: RegisteredUpstream, answer: Omit<EvidenceAnswer, "isCandidate">): void {
        this.#rollouts.get(upstream.pool)?.addAnswer(upstream, answer);
    }

    /** Takes all roll-outs further that are under way. */
    tick(): void {
        this.#ticks += 1;
        for (const rollout of this.#rollouts.values()) {
            if (!rollout.isOver()) {
                rollout.tick(this.#ticks);
            }
        }
    }

    #getSessions(pool: string): PoolSessions {
        let sessions = this.#sessions.get(pool);
        if (sessions === undefined) {
            const { self, clock, sessionMilliseconds, writePins } = this.#options;
            sessions = new PoolSessions({
                self,
                clock,
                sessionMilliseconds,
                writePins: report => writePins(pool, report),
            });
            this.#sessions.set(pool, sessions);
        }
        return sessions;
    }
}
