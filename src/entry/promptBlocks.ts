/**
 * Hashes of a prompt's prefixes, by which engines name the blocks in their prefix caches.
 */
import createHasher from "xxhash-wasm";

/** Characters of a block. */
const blockCharacters = 512;
/** Blocks of a prompt that are looked at, at most: further ones change no decision. */
const maxBlocks = 64;
const hashDigits = 16;

const hasher = await createHasher();

/**
 * Returns the hashes of a prompt's prefixes, the longest last.
 * @param promptText - The whole prompt.
 */
export function getPrefixHashes(promptText: string): readonly string[] {
    const blocks: string[] = [];
    const count = Math.min(maxBlocks, Math.floor(promptText.length / blockCharacters));
    const state = hasher.create64();
    for (let index = 0; index < count; index += 1) {
        state.update(promptText.slice(index * blockCharacters, (index + 1) * blockCharacters));
        blocks.push(state.digest().toString(16).padStart(hashDigits, "0"));
    }
    return blocks;
}
