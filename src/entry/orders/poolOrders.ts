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
import { runBounded } from "./runBounded.js";
import type { WantedVersions } from "./wantedVersions.js";

const millisecondsPerSecond = 1000;
const deadlineMilliseconds = 2_000;
const concurrentCalls = 32;
const repeatMilliseconds = 10_000;
/** Load reports of this many runners at a time reach an entry; a version needs some among them. */
const copiesInSubset = 8;
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

interface Load {
    readonly version: string;
    readonly since: number;
}

/** Orders the runners of a pool. */
export class PoolOrders {
    readonly #options: PoolOrdersOptions;
    readonly #loads = new Map<string, Load>();
    /** Until when a runner that did not load in time is passed over. */
    readonly #stalledUntil = new Map<string, number>();
    /** When a version was first seen loaded without being wanted. */
    readonly #unwantedSince = new Map<string, number>();
    /** The state in which a runner was last found as it was ordered. */
    readonly #settled = new Map<string, string>();
    readonly #sent = new Map<string, SentOrder>();
    readonly #warned = new Set<string>();
    #reports = new Map<string, EngineReport>();
    #decision: LoadingDecision | undefined;

    constructor(options: PoolOrdersOptions) {
        this.#options = options;
    }

    /**
     * Reads the runners and orders those that are not as they are wanted.
     * @param runners - The pool's runners.
     * @param settings - The pool's settings.
     * @param wanted - What the pool is to have loaded.
     * @param longestWork - Milliseconds after which a version that takes nothing new has no work any more.
     */
    async arrange(
        runners: readonly Vm[],
        settings: PoolSettings,
        wanted: WantedVersions,
        longestWork: number,
    ): Promise<void> {
        await this.#read(runners);
        const states = this.#describe(runners, settings);
        const decision = decideLoading({
            runners: states,
            placed: wanted.placed,
            evictable: wanted.kept,
            retiring: this.#findRetiring(states, wanted, longestWork),
            versionsPerRunner: settings.versionsPerRunner,
            loadsAtATime: settings.loadsAtATime,
            minCopies: this.#countLeastCopies(runners.length),
        });
        this.#decision = decision;
        this.#warn(decision, settings);
        this.#noteSettled(states, decision);
        const byId = new Map(runners.map(runner => [runner.id, runner]));
        this.#noteLoads(decision);
        await runBounded(decision.orders, concurrentCalls, async order => {
            const runner = byId.get(order.runner);
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
            const loading = this.#loads.get(id)?.version;
            runners.push({ id, versions, checksFencing, loading, isStalled: this.#isStalled(id) });
        }
        const { missing = 0, unplaced = [] } = this.#decision ?? {};
        return { pool: this.#options.pool, runners, missing, unplaced };
    }

    async #read(runners: readonly Vm[]): Promise<void> {
        const reports = new Map<string, EngineReport>();
        await runBounded(runners, concurrentCalls, async runner => {
            const report = await this.#options.engines.read(runner, deadlineMilliseconds);
            if (report.isOk() && !report.value.isLeaving) {
                reports.set(runner.id, report.value);
            }
        });
        this.#reports = reports;
        for (const [id, { versions }] of reports) {
            this.#noteReport(id, versions);
        }
    }

    /** Notes a load that is done, and an engine that strayed from what it had reached. */
    #noteReport(id: string, versions: readonly string[]): void {
        const load = this.#loads.get(id);
        if (load !== undefined && versions.includes(load.version)) {
            this.#loads.delete(id);
            this.#stalledUntil.delete(id);
        }
        const found = getKey(versions);
        if (this.#sent.get(id)?.reported !== found) {
            // Whatever was ordered before the change may be undone by it, so it is ordered again at once.
            this.#sent.delete(id);
        }
        const settled = this.#settled.get(id);
        if (settled !== undefined && settled !== found) {
            // An engine that doesn't check fencing obeyed a late order, or it restarted. Its report is what counts.
            this.#options.journal.write(events.engineStrayed, { engine: id, versions: versions.join(", ") });
            this.#settled.delete(id);
        }
    }

    #describe(runners: readonly Vm[], settings: PoolSettings): readonly LoadingRunner[] {
        const now = this.#options.clock.monotonic();
        const states: LoadingRunner[] = [];
        for (const { id, failureDomain } of runners) {
            const report = this.#reports.get(id);
            if (report === undefined) {
                continue;
            }
            const load = this.#loads.get(id);
            const isLate = load !== undefined
                && now - load.since > settings.loadTimeoutSeconds * millisecondsPerSecond;
            if (isLate) {
                this.#loads.delete(id);
                this.#stalledUntil.set(id, now + settings.loadTimeoutSeconds * millisecondsPerSecond);
                this.#options.journal.write(events.loadStalled, { engine: id, version: load.version });
            }
            const loading = load === undefined || isLate ? [] : [load.version];
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
        { placed, kept }: WantedVersions,
        longestWork: number,
    ): ReadonlySet<string> {
        const now = this.#options.clock.monotonic();
        const wanted = new Set(placed.map(({ id }) => id));
        const unwanted = new Set<string>();
        for (const { versions } of states) {
            for (const version of versions) {
                if (!wanted.has(version) && !kept.has(version)) {
                    unwanted.add(version);
                }
            }
        }
        for (const version of this.#unwantedSince.keys()) {
            if (!unwanted.has(version)) {
                this.#unwantedSince.delete(version);
            }
        }
        const retiring = new Set<string>();
        for (const version of unwanted) {
            const since = this.#unwantedSince.get(version) ?? now;
            this.#unwantedSince.set(version, since);
            if (now - since < longestWork) {
                retiring.add(version);
            }
        }
        return retiring;
    }

    /** With more runners than an entry talks to, two copies would be out of reach for nearly all entries. */
    #countLeastCopies(runners: number): number {
        const { subsetSize } = this.#options;
        return runners <= subsetSize ? minFailureDomains : Math.ceil(runners * copiesInSubset / subsetSize);
    }

    /** Remembers the state of runners that are as they are wanted, and forgets it for those that are ordered anew. */
    #noteSettled(states: readonly LoadingRunner[], decision: LoadingDecision): void {
        const ordered = new Set(decision.orders.map(order => order.runner));
        this.#settled.clear();
        for (const { id, versions } of states) {
            if (!ordered.has(id)) {
                this.#settled.set(id, getKey(versions));
            }
        }
    }

    #noteLoads(decision: LoadingDecision): void {
        const now = this.#options.clock.monotonic();
        const loading = new Map<string, string>();
        for (const { runner, loadingVersion } of decision.orders) {
            if (loadingVersion !== undefined) {
                loading.set(runner, loadingVersion);
            }
        }
        for (const id of this.#loads.keys()) {
            if (!loading.has(id)) {
                this.#loads.delete(id);
            }
        }
        for (const [id, version] of loading) {
            if (this.#loads.get(id)?.version !== version) {
                this.#loads.set(id, { version, since: now });
                this.#options.journal.write(events.loadOrdered, { engine: id, version });
            }
        }
    }

    async #send(runner: Vm, versions: readonly string[]): Promise<void> {
        const { channel, engines, clock } = this.#options;
        const state = {
            versions: getKey(versions),
            reported: getKey(this.#reports.get(runner.id)?.versions ?? []),
            at: clock.monotonic(),
        };
        if (this.#isUnderWay(runner.id, state)) {
            return;
        }
        const sent = await channel.send(
            (order, deadline) => engines.order(runner, order, deadline),
            { engine: runner.id, versions, role },
        );
        if (sent.isOk()) {
            this.#sent.set(runner.id, state);
        }
    }

    /**
     * Tells whether an engine has taken this very order and has not changed since. It is repeated only now and then, for
     * an engine that lost it, since loading takes minutes and rounds follow each other quickly.
     */
    #isUnderWay(id: string, state: SentOrder): boolean {
        const sent = this.#sent.get(id);
        return sent !== undefined && sent.versions === state.versions
            && state.at - sent.at < repeatMilliseconds;
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
        if (!this.#warned.has(key)) {
            this.#warned.add(key);
            warn();
        }
    }
}

function getKey(versions: readonly string[]): string {
    return [...versions].sort().join(" ");
}
