/**
 * Max-min fair division of what is served.
 */

/**
 * Returns the most that each of several parties gets when what is served is divided fairly: those that ask for less get all of it, and
 * what they leave is divided among the others.
 * @param demands - What each party asks for.
 * @param total - What is served.
 * @returns The level; infinite when everything that is asked for is served.
 */
export function getFairLevel(demands: readonly number[], total: number): number {
    const sorted = demands.toSorted((left, right) => left - right);
    let left = total;
    for (const [index, demand] of sorted.entries()) {
        const level = left / (sorted.length - index);
        if (demand > level) {
            return level;
        }
        left -= demand;
    }
    return Number.POSITIVE_INFINITY;
}
