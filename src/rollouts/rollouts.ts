/**
 * Handles all roll-outs at one node: chooses versions for requests, collects evidence and takes further steps.
 *
 * Every node can take the next step, and the store accepts each step once. Nodes wait in the order of their rank, so
 * that usually only the first one writes.
 */
import { isOfLaterEra } from "../common/index.js";
import { events } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { AttemptWatch } from "./attemptWatch.js";
import type { PinReport } from "./pinnedSessions.js";
import { type AttemptKind, PoolRollout } from "./poolRollout.js";
import { PoolSessions } from "./poolSessions.js";
import type { RolloutOrder, RolloutProgress } from "./rollout.js";
import type { RolloutsOptions } from "./rolloutsOptions.js";
import { VersionPartitions } from "./versionPartitions.js";
import type { VersionSelection } from "./versionSelection.js";

const tickMilliseconds = 200;

/** Handles the roll-outs of all pools. */
export class Rollouts {
    readonly #options: RolloutsOptions;
    /** By pool. */
    readonly #rollouts = new Map<string, PoolRollout>();
    /** By pool: progress of an order that this node has not received yet. */
    readonly #pendingProgress = new Map<string, RolloutProgress>();
    /** By pool: the latest order that other nodes have halted. That may be known before the order itself. */
    readonly #halts = new Map<string, number>();
    /** By pool: versions that serve nothing any more. The sets are immutable: a change creates a new one. */
    readonly #revertedVersions = new Map<string, ReadonlySet<string>>();
    /** By pool. */
    readonly #sessions = new Map<string, PoolSessions>();
    readonly #partitions = new VersionPartitions();
    #timer: NodeJS.Timeout | undefined;
    #ticks = 0;

    constructor(options: RolloutsOptions) {
        this.#options = options;
    }

    /** Starts to take steps. */
    start(): void {
        this.#timer = setInterval(() => this.tick(), tickMilliseconds);
    }

    /** Stops taking steps. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Sets an operator's order. An order that is not newer than the pool's current one is ignored. */
    setOrder(order: RolloutOrder): void {
        const { id, pool, version } = order;
        const known = this.#rollouts.get(pool);
        if (known !== undefined && known.order.id >= id) {
            return;
        }
        this.#rollouts.set(pool, new PoolRollout(this.#options, order, this.#getSessions(pool)));
        this.#clearReverted(order);
        this.#options.journal.write(events.rolloutOrdered, { rollout: pool, version, order: id });
        this.#applyHalt(pool);
        const pending = this.#pendingProgress.get(pool);
        if (pending !== undefined) {
            this.setProgress(pool, pending);
        }
    }

    /** Makes a reverted version eligible again when it is ordered once more. */
    #clearReverted({ pool, version }: RolloutOrder): void {
        const remaining = [...this.#revertedVersions.get(pool) ?? []].filter(reverted => reverted !== version);
        this.#revertedVersions.set(pool, new Set(remaining));
    }

    /** Updates the progress of a pool's roll-out. */
    setProgress(pool: string, progress: RolloutProgress): void {
        if (progress.state === "reverted") {
            this.#revertedVersions.set(pool, new Set([...this.#revertedVersions.get(pool) ?? [], progress.version]));
        }
        const rollout = this.#rollouts.get(pool);
        if (rollout !== undefined && rollout.order.id === progress.order) {
            rollout.setProgress(progress);
        }
        else if (rollout !== undefined && isSameOrder(rollout.order, progress)) {
            this.#rollouts.set(
                pool,
                new PoolRollout(this.#options, { ...rollout.order, id: progress.order }, this.#getSessions(pool)),
            );
            this.setProgress(pool, progress);
        }
        else {
            this.#pendingProgress.set(pool, progress);
        }
    }

    /** Sets the sessions of a pool that are pinned at a node. */
    setPins(pool: string, origin: string, report: PinReport): void {
        this.#getSessions(pool).setReport(origin, report);
    }

    /** Halts a pool's roll-out that another node found bad. */
    setHalted(pool: string, order: number): void {
        this.#halts.set(pool, Math.max(order, this.#halts.get(pool) ?? order));
        this.#applyHalt(pool);
    }

    #applyHalt(pool: string): void {
        const rollout = this.#rollouts.get(pool);
        if (rollout !== undefined && rollout.order.id === this.#halts.get(pool)) {
            rollout.halt("reported by a peer");
        }
    }

    /**
     * Returns the upstreams that may serve a request.
     * @param pool - The pool.
     * @param session - The session, or another identifier of the request.
     * @param upstreams - The pool's upstreams that accept requests.
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
     * Records a request that is sent to an upstream.
     * @param upstream - The upstream.
     * @param session - The request's session, or undefined if it has none.
     * @returns A callback to call when the request has ended.
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
     * Starts to watch an attempt as evidence on its version. Returns undefined when no roll-out of its pool is in progress.
     * @param upstream - The upstream.
     * @param attempt - The kind of attempt.
     */
    watchAttempt(upstream: RegisteredUpstream, attempt: AttemptKind): AttemptWatch | undefined {
        return this.#rollouts.get(upstream.pool)?.watchAttempt(upstream, attempt);
    }

    /** Advances all roll-outs in progress. */
    tick(): void {
        this.#ticks += 1;
        for (const rollout of this.#rollouts.values()) {
            rollout.tick(this.#ticks);
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

/**
 * Returns whether a progress belongs to an order that has another identifier since: the store came back from an older copy in between,
 * and the order was written again. A node that has started after that knows only the later identifier.
 */
function isSameOrder({ id, version }: RolloutOrder, progress: RolloutProgress): boolean {
    return progress.version === version && isOfLaterEra(id, progress.order);
}
