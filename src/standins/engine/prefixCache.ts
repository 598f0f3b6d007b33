/**
 * The engine's cache of prompt prefixes, in limited memory, and the cache events.
 */
import xxhash, { type XXHashAPI } from "xxhash-wasm";
import { type Clock, type RandomSource, systemClock } from "../../common/index.js";

/** Characters per block. */
const blockCharacters = 512;
/** Tokens per block. */
export const blockTokens = 128;
const retainedEventCount = 10_000;

/** Event that reports a block stored in or removed from the cache, or a cleared cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed" | "cleared";
    /** Hash of the prompt up to the end of the block; empty for `cleared`. */
    readonly block: string;
    /** The version that computed the block. Other versions can't use the block. */
    readonly version: string;
}

/** Limits of the cache, read at each use. */
export interface CacheLimits {
    readonly cacheBlocks: number;
    readonly cacheEventLagMilliseconds: number;
    readonly cacheEventLossProbability: number;
}

interface TimestampedEvent {
    readonly at: number;
    readonly event: CacheEvent;
}

/** Hashes the blocks of prompts. */
export class BlockHasher {
    readonly #api: XXHashAPI;

    private constructor(api: XXHashAPI) {
        this.#api = api;
    }

    /** Loads the hash function. */
    static async create(): Promise<BlockHasher> {
        return new BlockHasher(await xxhash());
    }

    /** Returns the hashes of a prompt's complete blocks. Each hash covers the prompt from its start to the end of the block. */
    getBlocks(prompt: string): readonly string[] {
        const blocks: string[] = [];
        const hash = this.#api.create64();
        for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
            hash.update(prompt.slice(end - blockCharacters, end));
            blocks.push(hash.digest().toString(16).padStart(16, "0"));
        }
        return blocks;
    }
}

/** Stores blocks, evicts the least recently used ones, and publishes events with a lag and with gaps. */
export class PrefixCache {
    readonly #getLimits: () => CacheLimits;
    readonly #random: RandomSource;
    readonly #clock: Clock;
    /** Ordered by use, least recently used first. The values are the blocks' fields in events. */
    readonly #blocks = new Map<string, { readonly block: string; readonly version: string; }>();
    #events: TimestampedEvent[] = [];
    #nextSequence = 0;

    constructor(getLimits: () => CacheLimits, random: RandomSource, clock: Clock = systemClock) {
        this.#getLimits = getLimits;
        this.#random = random;
        this.#clock = clock;
    }

    /**
     * Returns the number of cached blocks at the start of a prompt.
     * @param version - The version that runs the prompt.
     * @param blocks - The hashes of the prompt's blocks, in order.
     */
    getCachedCount(version: string, blocks: readonly string[]): number {
        let count = 0;
        for (const block of blocks) {
            if (!this.#blocks.has(getKey(version, block))) {
                break;
            }
            count += 1;
        }
        return count;
    }

    /** Stores a prompt's blocks or marks them as used. A prompt's first block is evicted last. */
    add(version: string, blocks: readonly string[]): void {
        for (const block of [...blocks].reverse()) {
            const key = getKey(version, block);
            const wasCached = this.#blocks.delete(key);
            this.#blocks.set(key, { block, version });
            if (!wasCached) {
                this.#publish("stored", block, version);
            }
        }
        this.#evict();
    }

    /** Removes all blocks. */
    clear(): void {
        this.#blocks.clear();
        this.#publish("cleared", "", "");
    }

    /**
     * Returns the events from a sequence number on that are at least `cacheEventLagMilliseconds` old, and the sequence
     * number for the next call.
     */
    getEvents(from: number): { readonly events: readonly CacheEvent[]; readonly next: number; } {
        const visibleAt = this.#clock.monotonic() - this.#getLimits().cacheEventLagMilliseconds;
        const events: CacheEvent[] = [];
        let next = from;
        for (const { at, event } of this.#events) {
            if (at > visibleAt) {
                break;
            }
            if (event.sequence >= from) {
                events.push(event);
                next = event.sequence + 1;
            }
        }
        return { events, next };
    }

    #evict(): void {
        for (const [key, { block, version }] of this.#blocks) {
            if (this.#blocks.size <= this.#getLimits().cacheBlocks) {
                return;
            }
            this.#blocks.delete(key);
            this.#publish("removed", block, version);
        }
    }

    #publish(kind: CacheEvent["kind"], block: string, version: string): void {
        const event = { sequence: this.#nextSequence, kind, block, version };
        this.#nextSequence += 1;
        if (this.#random.next() < this.#getLimits().cacheEventLossProbability) {
            return;
        }
        this.#events.push({ at: this.#clock.monotonic(), event });
        if (this.#events.length > 2 * retainedEventCount) {
            this.#events = this.#events.slice(-retainedEventCount);
        }
    }
}

function getKey(version: string, block: string): string {
    return `${version} ${block}`;
}
