/**
 * Capacity of the upstreams in the entry's region.
 */
import type { VmRole } from "../../world/index.js";
import type { Runner } from "./runner.js";

/**
 * Returns the total capacity of the region's live upstreams of a role, in concurrent requests. Upstreams that have not reported to this
 * entry are assumed to have the mean capacity of their pool; a pool without any report counts as 0.
 */
export function getCapacity(runners: Iterable<Runner>, role: VmRole): number {
    const pools = new Map<string, { live: number; reported: number; capacity: number; }>();
    for (const runner of runners) {
        if (runner.isLeaving || !runner.isNear || runner.vm.role !== role) {
            continue;
        }
        const pool = pools.get(runner.vm.pool) ?? { live: 0, reported: 0, capacity: 0 };
        pools.set(runner.vm.pool, pool);
        pool.live += 1;
        if (runner.load.isReported()) {
            pool.reported += 1;
            pool.capacity += runner.load.getCapacity();
        }
    }
    let sum = 0;
    for (const { live, reported, capacity } of pools.values()) {
        sum += reported === 0 ? 0 : capacity / reported * live;
    }
    return sum;
}
