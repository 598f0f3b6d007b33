/** Maps callers to numbers with xxHash, identically on every node. */
import xxhash from "xxhash-wasm";

/** Maps a string to a number from 0 (inclusive) to 1 (exclusive). */
export type CallerHash = (text: string) => number;

/** Loads xxHash and returns the hash function. */
export async function createCallerHash(): Promise<CallerHash> {
    const { h32 } = await xxhash();
    return text => h32(text) / 2 ** 32;
}
