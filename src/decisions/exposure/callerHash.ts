/** Maps callers to numbers by xxHash, the same on every node. */
import xxhash from "xxhash-wasm";

/** Maps a text to a number from 0 (included) to 1 (excluded). */
export type CallerHash = (text: string) => number;

/** Loads xxHash. */
export async function createCallerHash(): Promise<CallerHash> {
    const { h32 } = await xxhash();
    return text => h32(text) / 2 ** 32;
}
