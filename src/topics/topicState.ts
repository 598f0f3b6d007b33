/**
 * The newest records of a topic, folded from pages that may overlap, repeat or come from several readers.
 */
import type { KeyedRecord, TopicPage } from "./keyedTopic.js";

/** Removed keys that are remembered, so that peers who read through this node hear of the removal. */
const maxTombstones = 1_000;

/** Folds pages. Offsets decide: an older record never replaces a newer one, whoever delivers it last. */
export class TopicState {
    readonly #records = new Map<string, KeyedRecord>();
    #endOffset = 0;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #isLoaded = false;
    /** Removals before this offset are no longer remembered. */
    #prunedBefore = 0;

    /** Returns the offset up to which the state is folded. */
    getEndOffset(): number {
        return this.#endOffset;
    }

    /** Tells whether the state has ever been complete. */
    isLoaded(): boolean {
        return this.#isLoaded;
    }

    /** Returns the monotonic time at which this was the newest state of the store, at least. */
    getConfirmedAt(): number {
        return this.#confirmedAt;
    }

    /**
     * Returns a record, unless its key was removed.
     * @param key - Its key.
     */
    get(key: string): KeyedRecord | undefined {
        const record = this.#records.get(key);
        return record?.value === undefined ? undefined : record;
    }

    /** Returns the records of all keys that are not removed. */
    *getAll(): Iterable<KeyedRecord> {
        for (const record of this.#records.values()) {
            if (record.value !== undefined) {
                yield record;
            }
        }
    }

    /** Returns everything. */
    getCompletePage(): TopicPage {
        return {
            records: [...this.getAll()],
            isComplete: true,
            endOffset: this.#endOffset,
            confirmedAt: this.#confirmedAt,
        };
    }

    /**
     * Returns what changed at or after an offset, removals among it; everything when removals that old are forgotten.
     * @param from - The offset.
     */
    getSince(from: number): TopicPage {
        if (from < this.#prunedBefore) {
            return this.getCompletePage();
        }
        const records: KeyedRecord[] = [];
        for (const record of this.#records.values()) {
            if (record.offset >= from) {
                records.push(record);
            }
        }
        return { records, isComplete: false, endOffset: this.#endOffset, confirmedAt: this.#confirmedAt };
    }

    /**
     * Folds a page.
     * @param page - The page.
     * @returns The records that changed something, in the order of offsets.
     */
    apply(page: TopicPage): readonly KeyedRecord[] {
        const changed: KeyedRecord[] = [];
        for (const record of page.records) {
            if (this.#set(record)) {
                changed.push(record);
            }
        }
        if (page.isComplete) {
            changed.push(...this.#removeMissing(page));
            this.#isLoaded = true;
        }
        this.#endOffset = Math.max(this.#endOffset, page.endOffset);
        // A page from a peer that lags behind confirms only what it has seen itself.
        if (page.endOffset >= this.#endOffset) {
            this.#confirmedAt = Math.max(this.#confirmedAt, page.confirmedAt);
        }
        this.#pruneTombstones();
        return changed.sort((first, second) => first.offset - second.offset);
    }

    #set(record: KeyedRecord): boolean {
        const known = this.#records.get(record.key);
        if (known !== undefined && known.offset >= record.offset) {
            return false;
        }
        // Set anew so that the map stays in the order of offsets, oldest first.
        this.#records.delete(record.key);
        this.#records.set(record.key, record);
        return true;
    }

    #removeMissing(page: TopicPage): KeyedRecord[] {
        const listed = new Set(page.records.map(record => record.key));
        const removed: KeyedRecord[] = [];
        for (const record of [...this.#records.values()]) {
            if (record.value !== undefined && !listed.has(record.key) && record.offset < page.endOffset) {
                const tombstone = { key: record.key, value: undefined, offset: page.endOffset - 1 };
                this.#records.delete(record.key);
                this.#records.set(record.key, tombstone);
                removed.push(tombstone);
            }
        }
        return removed;
    }

    #pruneTombstones(): void {
        let excess = this.#records.size - maxTombstones;
        for (const record of this.#records.values()) {
            if (excess <= 0) {
                return;
            }
            if (record.value === undefined) {
                this.#records.delete(record.key);
                this.#prunedBefore = Math.max(this.#prunedBefore, record.offset + 1);
                excess -= 1;
            }
        }
    }
}
