/**
 * The newest records of a topic, folded from pages that may overlap, repeat or come from several readers.
 */
import { isOfLaterEra } from "../common/index.js";
import type { KeyedRecord, TopicPage } from "./keyedTopic.js";

/** Maximum number of tombstones. They report removals to peers that read through this node. */
const maxTombstones = 1_000;
/** Stands for the list of all records that are not removed, in place of a position. */
const wholeState = -1;

/** Folds pages. An older position never replaces a newer one, regardless of the order in which pages arrive. */
export class TopicState {
    readonly #records = new Map<string, KeyedRecord>();
    #endPosition = 0;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #isLoaded = false;
    /** Tombstones before this position were pruned. */
    #prunedBefore = 0;
    #tombstones = 0;
    /**
     * Lists of records by the position from which they were requested, until the next change. Many peers request the same ones, and a
     * list is encoded once.
     */
    readonly #lists = new Map<number, readonly KeyedRecord[]>();

    /** Returns the end position of the folded records. */
    getEndPosition(): number {
        return this.#endPosition;
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

    /**
     * Returns a record that the store holds, or undefined if it may have lost the one that is known, as it came back from an older copy.
     * @param key - Its key.
     */
    getHeld(key: string): KeyedRecord | undefined {
        const record = this.get(key);
        return record === undefined || isOfLaterEra(this.#endPosition, record.position) ? undefined : record;
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
            records: this.#getList(wholeState, () => [...this.getAll()]),
            isComplete: true,
            endPosition: this.#endPosition,
            confirmedAt: this.#confirmedAt,
        };
    }

    /**
     * Returns the changes at or after a position, including removals, or the whole state if tombstones since that position
     * were pruned.
     * @param from - The position.
     */
    getSince(from: number): TopicPage {
        if (from < this.#prunedBefore) {
            return this.getCompletePage();
        }
        const records = this.#getList(
            from,
            () => [...this.#records.values()].filter(({ position }) => position >= from),
        );
        return { records, isComplete: false, endPosition: this.#endPosition, confirmedAt: this.#confirmedAt };
    }

    /**
     * Folds a page.
     * @param page - The page.
     * @returns The records that changed the state, ordered by position.
     */
    apply(page: TopicPage): readonly KeyedRecord[] {
        this.#lists.clear();
        const changed: KeyedRecord[] = [];
        for (const record of page.isComplete ? page.records.toSorted(compareByPosition) : page.records) {
            if (this.#set(record)) {
                changed.push(record);
            }
        }
        if (page.isComplete) {
            // What the store has lost is not removed: it is written again.
            changed.push(...this.#hasLostRecords(page) ? [] : this.#removeMissing(page));
            this.#isLoaded = true;
        }
        this.#endPosition = Math.max(this.#endPosition, page.endPosition);
        // A page of a peer that lags behind confirms only the positions that it covers.
        if (page.endPosition >= this.#endPosition) {
            this.#confirmedAt = Math.max(this.#confirmedAt, page.confirmedAt);
        }
        this.#pruneTombstones();
        return changed.sort(compareByPosition);
    }

    /** Returns whether a page is the first one since the store came back from an older copy. */
    #hasLostRecords({ endPosition }: TopicPage): boolean {
        return this.#isLoaded && isOfLaterEra(endPosition, this.#endPosition);
    }

    #getList(from: number, collect: () => readonly KeyedRecord[]): readonly KeyedRecord[] {
        const list = this.#lists.get(from) ?? collect();
        this.#lists.set(from, list);
        return list;
    }

    #set(record: KeyedRecord): boolean {
        const known = this.#records.get(record.key);
        if (known !== undefined && known.position >= record.position) {
            return false;
        }
        this.#replace(record);
        return known === undefined || !isSameRecord(known, record);
    }

    /** Removes the key and sets it again, so that the map stays ordered by position, lowest first. */
    #replace(record: KeyedRecord): void {
        const known = this.#records.get(record.key);
        if (known !== undefined && known.value === undefined) {
            this.#tombstones -= 1;
        }
        if (record.value === undefined) {
            this.#tombstones += 1;
        }
        this.#records.delete(record.key);
        this.#records.set(record.key, record);
    }

    #removeMissing(page: TopicPage): KeyedRecord[] {
        const listed = new Set(page.records.map(record => record.key));
        const removed: KeyedRecord[] = [];
        for (const record of [...this.#records.values()]) {
            if (record.value !== undefined && !listed.has(record.key) && record.position < page.endPosition) {
                const tombstone = { key: record.key, value: undefined, position: page.endPosition - 1 };
                this.#replace(tombstone);
                removed.push(tombstone);
            }
        }
        return removed;
    }

    #pruneTombstones(): void {
        if (this.#tombstones <= maxTombstones) {
            return;
        }
        for (const record of this.#records.values()) {
            if (record.value !== undefined) {
                continue;
            }
            this.#records.delete(record.key);
            this.#tombstones -= 1;
            this.#prunedBefore = Math.max(this.#prunedBefore, record.position + 1);
            if (this.#tombstones <= maxTombstones) {
                return;
            }
        }
    }
}

function compareByPosition(first: KeyedRecord, second: KeyedRecord): number {
    return first.position - second.position;
}

/** Returns whether a record is one that was known before the store came back, and that its copy has kept or its writer has written again. */
function isSameRecord(known: KeyedRecord, record: KeyedRecord): boolean {
    if (!isOfLaterEra(record.position, known.position)) {
        return false;
    }
    return known.value === undefined ? record.value === undefined : record.value?.equals(known.value) === true;
}
