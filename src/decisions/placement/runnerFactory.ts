/**
 * Creates the runners that an entry observes, with the statistics of their pools.
 */
import type { Vm } from "../../world/index.js";
import type { PlacementOptions } from "./options.js";
import type { EntryLocation } from "./placement.js";
import { PoolStatistics } from "./poolStatistics.js";
import { getRank } from "./rendezvous.js";
import { Runner } from "./runner.js";

const ownDomainMilliseconds = 0;

/** Creates runners for one entry. */
export class RunnerFactory {
    readonly #self: EntryLocation;
    readonly #options: PlacementOptions;
    readonly #pools = new Map<string, PoolStatistics>();

    constructor(self: EntryLocation, options: PlacementOptions) {
        this.#self = self;
        this.#options = options;
    }

    /**
     * Creates a runner.
     * @param vm - Its VM.
     */
    create(vm: Vm): Runner {
        return new Runner({
            vm,
            poolStatistics: this.#getPool(vm.pool),
            rank: getRank(this.#self.subsetKey, vm.id),
            networkMilliseconds: this.#getNetworkMilliseconds(vm),
            isNear: vm.region === this.#self.region,
            options: this.#options,
        });
    }

    #getNetworkMilliseconds(vm: Vm): number {
        if (vm.region !== this.#self.region) {
            return this.#options.otherRegionMilliseconds;
        }
        return vm.failureDomain === this.#self.failureDomain
            ? ownDomainMilliseconds
            : this.#options.otherDomainMilliseconds;
    }

    #getPool(name: string): PoolStatistics {
        let pool = this.#pools.get(name);
        if (pool === undefined) {
            pool = new PoolStatistics();
            this.#pools.set(name, pool);
        }
        return pool;
    }
}
