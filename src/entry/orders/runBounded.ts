/**
 * Runs work on many items with a bound on how many are under way.
 */

/**
 * Runs work on each item.
 * @param items - The items.
 * @param bound - The most that may be under way at a time.
 * @param work - The work; it must not throw.
 */
export async function runBounded<Item>(
    items: readonly Item[],
    bound: number,
    work: (item: Item) => Promise<void>,
): Promise<void> {
    let next = 0;
    const run = async (): Promise<void> => {
        while (next < items.length) {
            const item = items[next];
            next += 1;
            await work(item);
        }
    };
    await Promise.all(Array.from({ length: Math.min(bound, items.length) }, run));
}
