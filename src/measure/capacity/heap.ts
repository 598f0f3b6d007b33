/**
 * Measures the memory that objects retain and the time that work takes.
 */
import { performance } from "node:perf_hooks";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Point } from "./slope.js";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
const collections = 3;

/**
 * Returns the bytes in use after garbage collection. Each collection waits for a turn of the event loop first, so that
 * objects which only timers or settled promises still hold are released.
 */
async function getHeapAfterCollection(): Promise<number> {
    for (let count = 0; count < collections; count += 1) {
        await new Promise(resolve => setImmediate(resolve));
        collectGarbage();
    }
    const { heapUsed, external, arrayBuffers } = process.memoryUsage();
    return heapUsed + external + arrayBuffers;
}

/**
 * Measures the bytes that an object of each size retains after its pending work is done.
 * @param sizes - The sizes.
 * @param build - Builds the object, or a promise of it, for a size.
 */
export async function measureHeap(
    sizes: readonly number[],
    build: (size: number) => unknown,
): Promise<readonly Point[]> {
    const points: Point[] = [];
    // The first object also allocates compiled code and hidden classes, which the later ones share.
    keepAlive(await build(sizes[0]));
    for (const size of sizes) {
        points.push({ size, value: await measureRetained(size, build) });
    }
    return points;
}

/**
 * Measures the bytes that one object retains.
 *
 * This must be a separate function. In a loop, the stack frame would hold the previous object until the next one is
 * built. The previous object would be freed between the two heap readings, and each figure would be too small by its
 * size.
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
 * @param prepare - Prepares the work for a size and returns a function that does it once.
 * @param repeats - The number of repetitions that are averaged, after as many for warm-up.
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

/** Keeps an object reachable up to this call. */
function keepAlive(retained: unknown): void {
    if (retained === undefined) {
        throw new Error("The measured object is undefined; it must stay reachable until it has been measured.");
    }
}
