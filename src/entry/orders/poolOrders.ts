/**
 * Brings the runners of one pool to the desired state step by step, and records the orders that it sent.
 */
import { type Clock } from "../../common/index.js";
import type { PoolSettings } from "../../configuration/index.js";
import type { OrderChannel } from "../../control/index.js";
import { decideLoading, type LoadingDecision, type LoadingRunner, minFailureDomains } from "../../decisions/index.js";
import { events, type Journal } from "../../events/index.js";
import type { EngineOrders, EngineReport } from "../../upstream/index.js";
import type { Vm } from "../../world/index.js";
import type { DesiredVersions } from "./desiredVersions.js";
import { runWithConcurrency } from "./runWithConcurrency.js";

const millisecondsPerSecond = 1000;
const readTimeoutMilliseconds = 2_000;
const maxConcurrentCalls = 32;
const resendMilliseconds = 10_000;
/**
 * Average number of copies of a version within the subset of runners from which an entry receives load reports. An
 * entry detects only by these reports that a runner has loaded a version, so it needs several copies among them.
 */
const copiesPerSubset = 8;
const role = "serve";

/** Options of a pool's orders. */
export interface PoolOrdersOptions {
    readonly pool: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly engines: EngineOrders;
    readonly channel: OrderChannel;
    /** Number of runners of a pool with which an entry communicates. */
    readonly subsetSize: number;
}

/** Represents the state of a runner that is managed by orders, for operators. */
export interface OrderedRunner {
    readonly id: string;
    readonly versions: readonly string[];
    readonly checksFencing: boolean;
    /** The version that it was ordered to load. */
    readonly loading: string | undefined;
    readonly isStalled: boolean;
}

/** Represents the state of a pool that is managed by orders, for operators. */
export interface OrderedPool {
    readonly pool: string;
    readonly runners: readonly OrderedRunner[];
    /** Number of loads that are still outstanding. */
    readonly missing: number;
    /** Versions for which the pool has no capacity. */
    readonly unplaced: readonly string[];
}

interface SentOrder {
    readonly versions: string;
    /** Versions that the engine reported when the order was sent. */
    readonly reported: string;
    readonly sentAt: number;
}

interface PendingLoad {
    readonly version: string;
    readonly orderedAt: number;
}

/** Sends the runners of a pool orders to load and unload versions. */
export class PoolOrders {
    readonly #options: PoolOrdersOptions;
    readonly #pendingLoads = new Map<string, PendingLoad>();
    /** Until when a runner is skipped because it did not load a version in time. */
    readonly #stalledUntil = new Map<string, number>();
    /** When a version was first seen loaded although it is not desired. */
    readonly #undesiredSince = new Map<string, number>();
    /** Versions that a runner reported when it last matched the decision. */
    readonly #reconciledVersions = new Map<string, string>();
    readonly #sentOrders = new Map<string, SentOrder>();
    readonly #issuedWarnings = new Set<string>();
    #reports = new Map<string, EngineReport>();
    #decision: LoadingDecision | undefined;

    constructor(options: PoolOrdersOptions) {
        this.#options = options;
    }

    /**
     * Reads the runners and sends orders to those that are not in the desired state.
     * @param runners - The pool's runners.
     * @param settings - The pool's settings.
     * @param desired - The versions that the pool should have loaded.
     * @param maxRequestMilliseconds - Time after which a version that takes no new work has no requests in flight, in
     *   milliseconds.
     */
    async reconcile(
        runners: readonly Vm[],
        settings: PoolSettings,
        desired: DesiredVersions,
        maxRequestMilliseconds: number,
    ): Promise<void> {
        await this.#read(runners);
        const states = this.#createRunnerStates(runners, settings);
        const decision = decideLoading({
            runners: states,
            placed: desired.placed,
            evictable: desired.evictable,
            retiring: this.#findRetiring(states, desired, maxRequestMilliseconds),
            versionsPerRunner: settings.versionsPerRunner,
            loadsAtATime: settings.loadsAtATime,
            minCopies: this.#getMinCopies(runners.length),
        });
        this.#decision = decision;
        this.#warn(decision, settings);
        this.#recordReconciled(states, decision);
        const runnersById = new Map(runners.map(runner => [runner.id, runner]));
        this.#recordLoads(decision);
        await runWithConcurrency(decision.orders, maxConcurrentCalls, async order => {
            const runner = runnersById.get(order.runner);
            if (runner !== undefined) {
                await this.#send(runner, order.versions);
            }
        });
    }

    /**
     * Returns whether a version is loaded on enough runners for its placement; `undefined` if it is not placed here.
     */
    isReady(version: string): boolean | undefined {
        const holders = this.#decision?.placement.get(version);
        if (holders === undefined || holders.size === 0) {
            return undefined;
        }
        let ready = 0;
        for (const report of this.#reports.values()) {
            ready += report.versions.includes(version) ? 1 : 0;
        }
        return ready >= Math.min(minFailureDomains, holders.size);
    }

    /** Returns the state of the pool, for operators. */
    getStatus(): OrderedPool {
        const runners: OrderedRunner[] = [];
        for (const [id, { versions, checksFencing }] of this.#reports) {
            const loading = this.#pendingLoads.get(id)?.version;
            runners.push({ id, versions, checksFencing, loading, isStalled: this.#isStalled(id) });
        }
        const { missing = 0, unplaced = [] } = this.#decision ?? {};
        return { pool: this.#options.pool, runners, missing, unplaced };
    }

    async #read(runners: readonly Vm[]): Promise<void> {
        const reports = new Map<string, EngineReport>();
        await runWithConcurrency(runners, maxConcurrentCalls, async runner => {
            const report = await this.#options.engines.read(runner, readTimeoutMilliseconds);
            if (report.isOk() && !report.value.isLeaving) {
                reports.set(runner.id, report.value);
            }
        });
        this.#reports = reports;
        for (const [id, { versions }] of reports) {
            this.#processReport(id, versions);
        }
    }

    /** Records a completed load, and reports an engine whose versions differ from the state that it had reached. */
    #processReport(id: string, versions: readonly string[]): void {
        const pendingLoad = this.#pendingLoads.get(id);
        if (pendingLoad !== undefined && versions.includes(pendingLoad.version)) {
            this.#pendingLoads.delete(id);
            this.#stalledUntil.delete(id);
        }
        const reportedKey = getVersionsKey(versions);
        if (this.#sentOrders.get(id)?.reported !== reportedKey) {
            // The change may have undone the last order, so the order is sent again at once.
            this.#sentOrders.delete(id);
        }
        const reconciled = this.#reconciledVersions.get(id);
        if (reconciled !== undefined && reconciled !== reportedKey) {
            // Either an engine that does not check fencing tokens obeyed a late order, or the engine restarted. Its
            // report is authoritative.
            this.#options.journal.write(events.engineStrayed, { engine: id, versions: versions.join(", ") });
            this.#reconciledVersions.delete(id);
        }
    }

    #createRunnerStates(runners: readonly Vm[], settings: PoolSettings): readonly LoadingRunner[] {
        const now = this.#options.clock.monotonic();
        const states: LoadingRunner[] = [];
        for (const { id, failureDomain } of runners) {
            const report = this.#reports.get(id);
            if (report === undefined) {
                continue;
            }
            const pendingLoad = this.#pendingLoads.get(id);
            const isOverdue = pendingLoad !== undefined
                && now - pendingLoad.orderedAt > settings.loadTimeoutSeconds * millisecondsPerSecond;
            if (isOverdue) {
                this.#pendingLoads.delete(id);
                this.#stalledUntil.set(id, now + settings.loadTimeoutSeconds * millisecondsPerSecond);
                this.#options.journal.write(events.loadStalled, { engine: id, version: pendingLoad.version });
            }
            const loading = pendingLoad === undefined || isOverdue ? [] : [pendingLoad.version];
            const { versions, isIdle } = report;
            states.push({ id, failureDomain, versions, loading, isIdle, isStalled: this.#isStalled(id) });
        }
        return states;
    }

    #isStalled(id: string): boolean {
        return (this.#stalledUntil.get(id) ?? 0) > this.#options.clock.monotonic();
    }

    /** Finds versions that are loaded but not desired, as long as they may have requests in flight. */
    #findRetiring(
        states: readonly LoadingRunner[],
        { placed, evictable }: DesiredVersions,
        maxRequestMilliseconds: number,
    ): ReadonlySet<string> {
        const now = this.#options.clock.monotonic();
        const desired = new Set(placed.map(({ id }) => id));
        const undesired = new Set<string>();
        for (const { versions } of states) {
            for (const version of versions) {
                if (!desired.has(version) && !evictable.has(version)) {
                    undesired.add(version);
                }
            }
        }
        for (const version of this.#undesiredSince.keys()) {
            if (!undesired.has(version)) {
                this.#undesiredSince.delete(version);
            }
        }
        const retiring = new Set<string>();
        for (const version of undesired) {
            const since = this.#undesiredSince.get(version) ?? now;
            this.#undesiredSince.set(version, since);
            if (now - since < maxRequestMilliseconds) {
                retiring.add(version);
            }
        }
        return retiring;
    }

    /**
     * Returns the minimum number of copies of a version. With more runners than an entry communicates with, two copies
     * would be unreachable for nearly all entries.
     */
    #getMinCopies(runners: number): number {
        const { subsetSize } = this.#options;
        return runners <= subsetSize ? minFailureDomains : Math.ceil(runners * copiesPerSubset / subsetSize);
    }

    /** Records the state of runners that match the decision, and removes that of runners that get a new order. */
    #recordReconciled(states: readonly LoadingRunner[], decision: LoadingDecision): void {
        const ordered = new Set(decision.orders.map(order => order.runner));
        this.#reconciledVersions.clear();
        for (const { id, versions } of states) {
            if (!ordered.has(id)) {
                this.#reconciledVersions.set(id, getVersionsKey(versions));
            }
        }
    }

    #recordLoads(decision: LoadingDecision): void {
        const now = this.#options.clock.monotonic();
        const loading = new Map<string, string>();
        for (const { runner, loadingVersion } of decision.orders) {
            if (loadingVersion !== undefined) {
                loading.set(runner, loadingVersion);
            }
        }
        for (const id of this.#pendingLoads.keys()) {
            if (!loading.has(id)) {
                this.#pendingLoads.delete(id);
            }
        }
        for (const [id, version] of loading) {
            if (this.#pendingLoads.get(id)?.version !== version) {
                this.#pendingLoads.set(id, { version, orderedAt: now });
                this.#options.journal.write(events.loadOrdered, { engine: id, version });
            }
        }
    }

    async #send(runner: Vm, versions: readonly string[]): Promise<void> {
        const { channel, engines, clock } = this.#options;
        const state = {
            versions: getVersionsKey(versions),
            reported: getVersionsKey(this.#reports.get(runner.id)?.versions ?? []),
            sentAt: clock.monotonic(),
        };
        if (this.#isAlreadySent(runner.id, state)) {
            return;
        }
        const sent = await channel.send(
            (order, deadline) => engines.order(runner, order, deadline),
            { engine: runner.id, versions, role },
        );
        if (sent.isOk()) {
            this.#sentOrders.set(runner.id, state);
        }
    }

    /**
     * Returns whether an engine has received this order and has not changed since. The order is resent only after
     * `resendMilliseconds`, for an engine that lost it, because loading takes minutes and rounds follow each other
     * quickly.
     */
    #isAlreadySent(id: string, state: SentOrder): boolean {
        const sent = this.#sentOrders.get(id);
        return sent !== undefined && sent.versions === state.versions
            && state.sentAt - sent.sentAt < resendMilliseconds;
    }

    /** Warns operators once about each condition that they have to fix. */
    #warn(decision: LoadingDecision, settings: PoolSettings): void {
        for (const version of decision.unplaced) {
            this.#warnOnce(`unplaced ${version}`, () => {
                this.#options.journal.write(events.versionUnplaced, { pool: this.#options.pool, version });
            });
        }
        for (const [id, { checksFencing }] of this.#reports) {
            if (settings.checksFencing && !checksFencing) {
                this.#warnOnce(`fencing ${id}`, () => {
                    this.#options.journal.write(events.fencingUnchecked, { pool: this.#options.pool, engine: id });
                });
            }
        }
    }

    #warnOnce(key: string, warn: () => void): void {
        if (!this.#issuedWarnings.has(key)) {
            this.#issuedWarnings.add(key);
            warn();
        }
    }
}

function getVersionsKey(versions: readonly string[]): string {
    return [...versions].sort().join(" ");
}
