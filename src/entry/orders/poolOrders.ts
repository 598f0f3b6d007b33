/**
 * Brings the runners of one pool step by step to what the configuration wants, and remembers what was ordered.
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
/** Load reports of this many runners at a time reach an entry; a version needs some among them. */
const copiesPerSubset = 8;
const role = "serve";

/** What a pool's orders work with. */
export interface PoolOrdersOptions {
    readonly pool: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly engines: EngineOrders;
    readonly channel: OrderChannel;
    /** Runners of a pool that an entry talks to. */
    readonly subsetSize: number;
}

/** What is known of a runner that is ordered, for operators. */
export interface OrderedRunner {
    readonly id: string;
    readonly versions: readonly string[];
    readonly checksFencing: boolean;
    /** The version that it was ordered to load. */
    readonly loading: string | undefined;
    readonly isStalled: boolean;
}

/** What is known of a pool that is ordered, for operators. */
export interface OrderedPool {
    readonly pool: string;
    readonly runners: readonly OrderedRunner[];
    /** Loads that are still to come. */
    readonly missing: number;
    /** Versions that there is no room for. */
    readonly unplaced: readonly string[];
}

interface SentOrder {
    readonly versions: string;
    /** What the engine reported then. */
    readonly reported: string;
    readonly at: number;
}

interface PendingLoad {
    readonly version: string;
    readonly since: number;
}

/** Orders the runners of a pool. */
export class PoolOrders {
    readonly #options: PoolOrdersOptions;
    readonly #pendingLoads = new Map<string, PendingLoad>();
    /** Until when a runner that did not load in time is passed over. */
    readonly #stalledUntil = new Map<string, number>();
    /** When a version was first seen loaded without being wanted. */
    readonly #undesiredSince = new Map<string, number>();
    /** The state in which a runner was last found as it was ordered. */
    readonly #reconciledVersions = new Map<string, string>();
    readonly #sentOrders = new Map<string, SentOrder>();
    readonly #issuedWarnings = new Set<string>();
    #reports = new Map<string, EngineReport>();
    #decision: LoadingDecision | undefined;

    constructor(options: PoolOrdersOptions) {
        this.#options = options;
    }

    /**
     * Reads the runners and orders those that are not as they are wanted.
     * @param runners - The pool's runners.
     * @param settings - The pool's settings.
     * @param desired - What the pool is to have loaded.
     * @param maxRequestMilliseconds - Milliseconds after which a version that takes nothing new has no work any more.
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

    /** Tells whether a version is ready as widely as its placement spreads; undefined when it is not placed here. */
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

    /** Returns what is known, for operators. */
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

    /** Notes a load that is done, and an engine that strayed from what it had reached. */
    #processReport(id: string, versions: readonly string[]): void {
        const load = this.#pendingLoads.get(id);
        if (load !== undefined && versions.includes(load.version)) {
            this.#pendingLoads.delete(id);
            this.#stalledUntil.delete(id);
        }
        const reportedKey = getVersionsKey(versions);
        if (this.#sentOrders.get(id)?.reported !== reportedKey) {
            // Whatever was ordered before the change may be undone by it, so it is ordered again at once.
            this.#sentOrders.delete(id);
        }
        const reconciled = this.#reconciledVersions.get(id);
        if (reconciled !== undefined && reconciled !== reportedKey) {
            // An engine that doesn't check fencing obeyed a late order, or it restarted. Its report is what counts.
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
            const load = this.#pendingLoads.get(id);
            const isOverdue = load !== undefined
                && now - load.since > settings.loadTimeoutSeconds * millisecondsPerSecond;
            if (isOverdue) {
                this.#pendingLoads.delete(id);
                this.#stalledUntil.set(id, now + settings.loadTimeoutSeconds * millisecondsPerSecond);
                this.#options.journal.write(events.loadStalled, { engine: id, version: load.version });
            }
            const loading = load === undefined || isOverdue ? [] : [load.version];
            const { versions, isIdle } = report;
            states.push({ id, failureDomain, versions, loading, isIdle, isStalled: this.#isStalled(id) });
        }
        return states;
    }

    #isStalled(id: string): boolean {
        return (this.#stalledUntil.get(id) ?? 0) > this.#options.clock.monotonic();
    }

    /** Finds loaded versions that are not wanted, as long as work of theirs may be under way. */
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

    /** With more runners than an entry talks to, two copies would be out of reach for nearly all entries. */
    #getMinCopies(runners: number): number {
        const { subsetSize } = this.#options;
        return runners <= subsetSize ? minFailureDomains : Math.ceil(runners * copiesPerSubset / subsetSize);
    }

    /** Remembers the state of runners that are as they are wanted, and forgets it for those that are ordered anew. */
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
                this.#pendingLoads.set(id, { version, since: now });
                this.#options.journal.write(events.loadOrdered, { engine: id, version });
            }
        }
    }

    async #send(runner: Vm, versions: readonly string[]): Promise<void> {
        const { channel, engines, clock } = this.#options;
        const state = {
            versions: getVersionsKey(versions),
            reported: getVersionsKey(this.#reports.get(runner.id)?.versions ?? []),
            at: clock.monotonic(),
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
     * Tells whether an engine has taken this very order and has not changed since. It is repeated only now and then, for
     * an engine that lost it, since loading takes minutes and rounds follow each other quickly.
     */
    #isAlreadySent(id: string, state: SentOrder): boolean {
        const sent = this.#sentOrders.get(id);
        return sent !== undefined && sent.versions === state.versions
            && state.at - sent.at < resendMilliseconds;
    }

    /** Tells operators once of each thing that they have to see to. */
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
