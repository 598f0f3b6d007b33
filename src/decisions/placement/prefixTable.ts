/**
 * Which runners hold which prompt prefixes, learned from cache events that come late and with gaps.
 *
 * The table is bounded: the prefix whose last new holder came longest ago is forgotten first. What it says is a hint for speed;
 * a wrong hint costs the time to read the prompt again, never the answer.
 */

const holdersPerBlock = 4;
/**
 * Weight of a hint for each gap since: the runner may have dropped the block. Measured: doubting more (0.5) costs far
 * more hits than it avoids, also with small caches.
 */
const gapConfidenceFactor = 0.97;

interface Holder {
    readonly upstream: string;
    /** The runner's generation when the hint came. */
    generation: number;
}

/** A runner that is believed to hold a prefix. */
export interface PrefixMatch {
    readonly upstream: string;
    readonly blocks: number;
    /** From 0 to 1. */
    readonly confidence: number;
}

/** Table of prompt prefixes and their holders. */
export class PrefixTable {
    readonly #maxBlocks: number;
    readonly #holders = new Map<string, Holder[]>();
    /** Counts the gaps of each runner; hints of an earlier generation are in doubt. */
    readonly #generations = new Map<string, number>();
    /** The generation from which hints count at all, for runners that cleared their cache. */
    readonly #minValidGenerations = new Map<string, number>();

    /** @param maxBlocks - How many blocks are kept. */
    constructor(maxBlocks: number) {
        this.#maxBlocks = maxBlocks;
    }

    /** Returns how many blocks are known. */
    getSize(): number {
        return this.#holders.size;
    }

    /** Notes that a runner holds a block. */
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
        // Deleting and setting again moves the block to the young end of the map, which is the bound's order.
        this.#holders.delete(block);
        this.#holders.set(block, [...retained, { upstream, generation }]);
        this.#removeOldest();
    }

    /** Notes that a runner dropped a block. */
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

    /** Notes that a runner dropped everything. */
    clear(upstream: string): void {
        this.addGap(upstream);
        this.#minValidGenerations.set(upstream, this.#getGeneration(upstream));
    }

    /** Forgets a runner that is gone for good; what is left of it in the table no longer counts. */
    forget(upstream: string): void {
        this.#generations.delete(upstream);
        this.#minValidGenerations.delete(upstream);
    }

    /** Notes that events of a runner were lost: removals may be among them. */
    addGap(upstream: string): void {
        this.#generations.set(upstream, this.#getGeneration(upstream) + 1);
    }

    /**
     * Finds the holders of the longest prefixes.
     * @param blocks - Shortest prefix first.
     * @param limit - How many runners to return at most.
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
