/**
 * Which members a caller is told to use.
 */
import type { Member } from "./membership.js";

/** Callers take so many addresses from an answer, at most. */
const maxAddresses = 64;

/**
 * Chooses the members for one caller: those of its own failure domain first, then others, drawn anew for each caller so that
 * a large site's callers spread over all of it.
 * @param alive - Members that take requests.
 * @param failureDomain - The caller's, if it said.
 * @param random - Draws from 0 to 1; tests give another.
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
