/**
 * The newest records of a topic, folded from pages that may overlap, repeat or come from several readers.
 */
import type { KeyedRecord, TopicPage } from "./keyedTopic.js";

/**
 * Maximum number of records before tombstones are pruned. Tombstones report removals to peers that read through this
 * node.
 */
const maxTombstones = 1_000;

/** Folds pages. An older offset never replaces a newer one, regardless of the order in which pages arrive. */
export class TopicState {
    readonly #records = new Map<string, KeyedRecord>();
    #endOffset = 0;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #isLoaded = false;
    /** Tombstones before this offset were pruned. */
    #prunedBefore = 0;

    /** Returns the end offset of the folded records. */
    getEndOffset(): number {
        return this.#endOffset;
    }

    /** Returns whether a complete page has been folded. */
    isLoaded(): boolean {
        return this.#isLoaded;
    }

    /** Returns the monotonic time at which the store held nothing newer than this state. This is a lower bound. */
    getConfirmedAt(): number {
        return this.#confirmedAt;
    }

    /**
     * Returns a record, or undefined if its key is unknown or removed.
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

    /** Returns the whole state. */
    getCompletePage(): TopicPage {
        return {
            records: [...this.getAll()],
            isComplete: true,
            endOffset: this.#endOffset,
            confirmedAt: this.#confirmedAt,
        };
    }

    /**
     * Returns the changes at or after an offset, including removals, or the whole state if tombstones since that offset
     * were pruned.
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
     * @returns The records that changed the state, ordered by offset.
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
        // A page of a peer that lags behind confirms only the offsets that it covers.
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
        // Removed and set again, so that the map stays ordered by offset, lowest first.
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
