/**
 * Share of a pool that is ejected.
 *
 * Ejecting runners moves their requests to the others. Beyond a certain share of the pool this would overload the others too, so
 * further failing runners are not ejected and keep their share of the requests.
 */
import type { Runner } from "./runner.js";

/**
 * Returns the share of a runner's pool that would be ejected if the runner were ejected as well.
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
