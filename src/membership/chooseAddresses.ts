/**
 * Chooses the entry addresses that a caller receives.
 */
import type { Member } from "./membership.js";

/** Maximum number of addresses in one response to a caller. */
const maxAddresses = 64;

/**
 * Chooses the members for one caller: members of its own failure domain first, then the others. The order within each
 * group is random for every caller, so that the callers of a large site spread over all members.
 * @param alive - Members that accept requests.
 * @param failureDomain - Failure domain of the caller, if it sent one.
 * @param random - Returns a number from 0 to 1.
 */
export function chooseAddresses(
    alive: readonly Member[],
    failureDomain: string | undefined,
    random: () => number = Math.random,
): readonly Member[] {
    const ranked = alive.map(member => ({
        member,
        order: (member.failureDomain === failureDomain ? 0 : 1) + random(),
    }));
    ranked.sort((first, second) => first.order - second.order);
    return ranked.slice(0, maxAddresses).map(({ member }) => member);
}
