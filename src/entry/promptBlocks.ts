/**
 * Hashes of prompt prefixes, by which engines identify the blocks in their prefix caches.
 */
import createHasher from "xxhash-wasm";

/** Characters per block. */
const blockCharacters = 512;
/** Maximum number of blocks that are hashed: further blocks change no decision. */
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
