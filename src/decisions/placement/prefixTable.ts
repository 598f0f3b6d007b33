/**
 * Prompt prefixes and the runners that have them in their cache, according to cache events that arrive late and with gaps.
 *
 * The size of the table is bounded: the prefix whose last new holder was added longest ago is removed first. Its entries are only hints
 * for speed. A wrong hint costs the time to prefill the prompt again, but never the answer.
 */
import type { CacheEvent } from "./placement.js";

const holdersPerBlock = 4;
/**
 * Factor by which each gap lowers the confidence in earlier hints, since the runner may have removed the block. A stronger reduction
 * (0.5) loses far more cache hits than it avoids wrong hints, also with small caches.
 */
const gapConfidenceFactor = 0.97;

interface Holder {
    readonly upstream: string;
    /** The runner's generation when the hint was added. */
    generation: number;
}

/** Represents a runner that probably has a prefix in its cache. */
export interface PrefixMatch {
    readonly upstream: string;
    readonly blocks: number;
    /** From 0 to 1. */
    readonly confidence: number;
}

/** Table of prompt prefixes and the runners that hold them. */
export class PrefixTable {
    readonly #maxBlocks: number;
    readonly #holders = new Map<string, Holder[]>();
    /** Number of gaps of each runner. Hints of an earlier generation have a lower confidence. */
    readonly #generations = new Map<string, number>();
    /** Minimum generation of valid hints, for runners that cleared their cache. */
    readonly #minValidGenerations = new Map<string, number>();

    /** @param maxBlocks - Maximum number of blocks in the table. */
    constructor(maxBlocks: number) {
        this.#maxBlocks = maxBlocks;
    }

    /** Returns the number of blocks in the table. */
    getSize(): number {
        return this.#holders.size;
    }

    /** Adds a runner as a holder of a block. */
    add(upstream: string, block: string): void {
        const generation = this.#getGeneration(upstream);
        const holders = this.#holders.get(block);
        const known = holders?.find(holder => holder.upstream === upstream);
        if (known !== undefined) {
            known.generation = generation;
            return;
        }
        this.#generations.set(upstream, generation);
        const retained = holders?.slice(1 - holdersPerBlock) ?? [];
        // Deleting and setting the key again moves the block to the end of the map, so that blocks are removed in order of age.
        this.#holders.delete(block);
        this.#holders.set(block, [...retained, { upstream, generation }]);
        this.#removeOldest();
    }

    /** Removes a runner from the holders of a block. */
    remove(upstream: string, block: string): void {
        const holders = this.#holders.get(block);
        const index = holders?.findIndex(holder => holder.upstream === upstream) ?? -1;
        if (holders === undefined || index < 0) {
            return;
        }
        holders.splice(index, 1);
        if (holders.length === 0) {
            this.#holders.delete(block);
        }
    }

    /** Invalidates all hints of a runner that has cleared its cache. */
    clear(upstream: string): void {
        this.addGap(upstream);
        this.#minValidGenerations.set(upstream, this.#getGeneration(upstream));
    }

    /**
     * Applies a change of an upstream's cache.
     * @param upstream - Identifier of the upstream.
     * @param event - The change.
     */
    apply(upstream: string, event: CacheEvent): void {
        if (event.kind === "stored") {
            this.add(upstream, event.block);
        }
        else if (event.kind === "removed") {
            this.remove(upstream, event.block);
        }
        else {
            this.clear(upstream);
        }
    }

    /** Removes a departed runner. Its remaining hints in the table are ignored. */
    removeUpstream(upstream: string): void {
        this.#generations.delete(upstream);
        this.#minValidGenerations.delete(upstream);
    }

    /** Records that events of a runner were lost, which may include removals. */
    addGap(upstream: string): void {
        this.#generations.set(upstream, this.#getGeneration(upstream) + 1);
    }

    /**
     * Returns the holders of the longest prefixes.
     * @param blocks - Hashes of the prefixes, shortest first.
     * @param limit - Number of matches at which the search for shorter prefixes stops.
     */
    getMatches(blocks: readonly string[], limit: number): readonly PrefixMatch[] {
        const matches: PrefixMatch[] = [];
        for (let index = blocks.length - 1; index >= 0 && matches.length < limit; index -= 1) {
            for (const holder of this.#holders.get(blocks[index]) ?? []) {
                const confidence = this.#getConfidence(holder);
                if (confidence > 0 && !matches.some(match => match.upstream === holder.upstream)) {
                    matches.push({ upstream: holder.upstream, blocks: index + 1, confidence });
                }
            }
        }
        return matches;
    }

    #getGeneration(upstream: string): number {
        return this.#generations.get(upstream) ?? 0;
    }

    #getConfidence(holder: Holder): number {
        const generation = this.#generations.get(holder.upstream);
        if (generation === undefined || holder.generation < (this.#minValidGenerations.get(holder.upstream) ?? 0)) {
            return 0;
        }
        return gapConfidenceFactor ** (generation - holder.generation);
    }

    #removeOldest(): void {
        if (this.#holders.size <= this.#maxBlocks) {
            return;
        }
        for (const block of this.#holders.keys()) {
            this.#holders.delete(block);
            return;
        }
    }
}
