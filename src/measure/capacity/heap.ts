/**
 * Measures what objects keep of the heap and how long work takes.
 */
import { performance } from "node:perf_hooks";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Point } from "./slope.js";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
const collections = 3;

/** What only timers or settled promises still hold is let go first. */
async function getHeapAfterCollection(): Promise<number> {
    for (let count = 0; count < collections; count += 1) {
        await new Promise(resolve => setImmediate(resolve));
        collectGarbage();
    }
    const { heapUsed, external, arrayBuffers } = process.memoryUsage();
    return heapUsed + external + arrayBuffers;
}

/**
 * Measures the bytes that an object of each size keeps once it has settled.
 * @param sizes - The sizes.
 * @param build - Builds the object.
 */
export async function measureHeap(
    sizes: readonly number[],
    build: (size: number) => unknown,
): Promise<readonly Point[]> {
    const points: Point[] = [];
    // The first object of a kind pays for compiled code and shapes that the later ones share.
    keepAlive(await build(sizes[0]));
    for (const size of sizes) {
        points.push({ size, value: await measureRetained(size, build) });
    }
    return points;
}

/**
 * Stands in a function of its own: in a loop, the frame goes on holding the object before until the next one is built.
 * It would then be freed between the two looks at the heap, and each figure be too small by the one before.
 */
async function measureRetained(size: number, build: (size: number) => unknown): Promise<number> {
    const before = await getHeapAfterCollection();
    const retained = await build(size);
    const value = await getHeapAfterCollection() - before;
    keepAlive(retained);
    return value;
}

/**
 * Measures the milliseconds of processor time that a piece of work takes at each size.
 * @param sizes - The sizes.
 * @param prepare - Makes the work ready, and returns it as a function that does it once.
 * @param repeats - How often it is done for one figure.
 */
export function measureTime(
    sizes: readonly number[],
    prepare: (size: number) => () => void,
    repeats: number,
): readonly Point[] {
    const points: Point[] = [];
    for (const size of sizes) {
        const work = prepare(size);
        for (let count = 0; count < repeats; count += 1) {
            work();
        }
        const startedAt = performance.now();
        for (let count = 0; count < repeats; count += 1) {
            work();
        }
        points.push({ size, value: (performance.now() - startedAt) / repeats });
    }
    return points;
}

/** Keeps an object alive up to this place. */
function keepAlive(retained: unknown): void {
    if (retained === undefined) {
        throw new Error("A measured object must be kept.");
    }
}
