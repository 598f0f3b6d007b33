/**
 * How much of a pool is ejected.
 *
 * Ejecting runners moves their work to the rest. Past a part of the pool that would bring down the rest too, so from
 * there on failing runners stay in and share the work.
 */
import type { Runner } from "./runner.js";

/**
 * Returns the part of a runner's pool that would be ejected if the runner were.
 * @param candidate - The runner.
 * @param runners - All runners.
 * @param now - Monotonic milliseconds.
 */
export function getEjectedShareWith(candidate: Runner, runners: Iterable<Runner>, now: number): number {
    let total = 0;
    let ejected = 1;
    for (const runner of runners) {
        if (runner.vm.pool !== candidate.vm.pool || runner.isLeaving) {
            continue;
        }
        total += 1;
        ejected += runner.health.isEjected(now) ? 1 : 0;
    }
    return ejected / total;
}
