/**
 * Sends loading orders to the engines while this entry holds the roll-out lease: which versions each runner should have
 * loaded.
 *
 * Every round starts from the engines' reports. A new lease holder therefore needs no state of the former one, and an
 * engine that obeyed a late order of a former holder is corrected in the next round.
 */
import { type Clock, RepeatedTask } from "../../common/index.js";
import type { ConfigurationReader } from "../../configuration/index.js";
import type { LeaseHolder, OrderChannel, RolloutFold } from "../../control/index.js";
import type { Evidence, RunnerChooser } from "../../decisions/index.js";
import type { Journal } from "../../events/index.js";
import type { EngineOrders } from "../../upstream/index.js";
import type { Vm } from "../../world/index.js";
import { collectDesiredVersions } from "./desiredVersions.js";
import { type OrderedPool, PoolOrders } from "./poolOrders.js";

/**
 * Maximum age of the configuration at which an entry sends orders. With an older one it might load a withdrawn version.
 */
const maxConfigurationAgeMilliseconds = 10_000;
/** Minimum pause between two rounds per runner that is read. It limits the load that a large pool puts on the entry. */
const pauseMillisecondsPerRunner = 15;

/** Options of a driver. */
export interface OrderDriverOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly configuration: ConfigurationReader;
    readonly rollouts: RolloutFold;
    readonly evidence: Evidence;
    readonly lease: LeaseHolder;
    readonly runners: RunnerChooser;
    readonly engines: EngineOrders;
    readonly channel: OrderChannel;
    readonly getVms: () => Iterable<Vm>;
    readonly intervalMilliseconds: number;
    /** Number of runners of a pool with which an entry communicates. */
    readonly subsetSize: number;
}

/** Drives the loading of versions in all pools that are managed by orders. */
export class OrderDriver {
    readonly #options: OrderDriverOptions;
    readonly #task: RepeatedTask;
    readonly #pools = new Map<string, PoolOrders>();
    #nextRoundAt = 0;

    constructor(options: OrderDriverOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#reconcileAll(),
            pauseMilliseconds: options.intervalMilliseconds,
        });
    }

    /** Starts to send orders while the lease is held. */
    start(): void {
        this.#task.start();
    }

    /** Stops sending orders. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Returns whether callers may be routed to a version. Where orders place the version, it must be loaded on more
     * than one runner, if it is placed on more than one. Where engines are managed by hand, any runner known to this
     * entry is enough.
     * @param version - Identifier of the version.
     */
    isReady(version: string): boolean {
        let isOrdered = false;
        for (const pool of this.#pools.values()) {
            const isReady = pool.isReady(version);
            if (isReady === true) {
                return true;
            }
            isOrdered ||= isReady === false;
        }
        return !isOrdered && this.#options.runners.countRunners(version) > 0;
    }

    /** Returns the state of the pools that this entry orders; empty unless it holds the lease. */
    getStatus(): readonly OrderedPool[] {
        return Array.from(this.#pools.values(), pool => pool.getStatus());
    }

    async #reconcileAll(): Promise<void> {
        const { lease, configuration, clock } = this.#options;
        if (lease.getFencingToken() === undefined) {
            this.#pools.clear();
            return;
        }
        if (configuration.getAge() > maxConfigurationAgeMilliseconds || clock.monotonic() < this.#nextRoundAt) {
            return;
        }
        const runnersByPool = groupByPool(this.#options.getVms());
        let runnerCount = 0;
        for (const [pool, runners] of runnersByPool) {
            if (configuration.getConfiguration().getPool(pool).orders) {
                runnerCount += runners.length;
                await this.#reconcilePool(pool, runners);
            }
            else {
                this.#pools.delete(pool);
            }
        }
        this.#nextRoundAt = clock.monotonic() + runnerCount * pauseMillisecondsPerRunner;
    }

    #reconcilePool(pool: string, runners: readonly Vm[]): Promise<void> {
        const { rollouts, clock, journal, engines, channel, subsetSize } = this.#options;
        const configuration = this.#options.configuration.getConfiguration();
        const settings = configuration.getPool(pool);
        let poolOrders = this.#pools.get(pool);
        if (poolOrders === undefined) {
            poolOrders = new PoolOrders({ pool, clock, journal, engines, channel, subsetSize });
            this.#pools.set(pool, poolOrders);
        }
        const desired = collectDesiredVersions({
            configuration,
            rollouts,
            models: settings.models,
            getDemand: version => this.#getDemand(version),
        });
        return poolOrders.reconcile(runners, settings, desired, configuration.getMaxDeadlineMilliseconds());
    }

    #getDemand(version: string): number {
        let answers = 0;
        for (const requestClass of this.#options.evidence.getClasses(version)) {
            answers += this.#options.evidence.getDecayedTally(version, requestClass).answers;
        }
        return answers;
    }
}

function groupByPool(vms: Iterable<Vm>): ReadonlyMap<string, readonly Vm[]> {
    const pools = new Map<string, Vm[]>();
    for (const vm of vms) {
        if (vm.role === "runner" && vm.state === "live") {
            pools.set(vm.pool, [...pools.get(vm.pool) ?? [], vm]);
        }
    }
    return pools;
}
