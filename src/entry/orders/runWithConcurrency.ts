/**
 * Runs work on many items with limited concurrency.
 */

/**
 * Runs work on each item.
 * @param items - The items.
 * @param maxConcurrency - Maximum number of items in progress at a time.
 * @param work - The work; it must not throw.
 */
export async function runWithConcurrency<Item>(
    items: readonly Item[],
    maxConcurrency: number,
    work: (item: Item) => Promise<void>,
): Promise<void> {
    let next = 0;
    const runWorker = async (): Promise<void> => {
        while (next < items.length) {
            const item = items[next];
            next += 1;
            await work(item);
        }
    };
    await Promise.all(Array.from({ length: Math.min(maxConcurrency, items.length) }, runWorker));
}
