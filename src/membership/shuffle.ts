/**
 * Random permutation of items.
 */
import type { RandomSource } from "../common/index.js";

/**
 * Returns the items in random order.
 * @param items - The items.
 * @param random - Source of randomness.
 */
export function shuffle<T>(items: readonly T[], random: RandomSource): T[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
        const other = random.nextInteger(index + 1);
        [shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
    }
    return shuffled;
}
