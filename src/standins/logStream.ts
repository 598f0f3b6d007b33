/**
 * One stream of the log service stand-in.
 */
import type { LogEntry, LogPage, LogRecord } from "../log/index.js";

/** Stores a stream's entries within its retention limits and wakes readers that wait for the next entry. */
export class LogStream {
    #entries: LogEntry[] = [];
    #earliestOffset = 0;
    readonly #waiters = new Set<() => void>();

    /** Returns the offset that the next append gets. */
    getNextOffset(): number {
        return this.#earliestOffset + this.#entries.length;
    }

    /** Returns the earliest offset that is still retained. */
    getEarliestOffset(): number {
        return this.#earliestOffset;
    }

    /**
     * Appends a record and wakes the waiting readers.
     * @param record - The record.
     * @param time - Wall-clock milliseconds.
     */
    add(record: LogRecord, time: number): LogEntry {
        const entry = { offset: this.getNextOffset(), time, record };
        this.#entries.push(entry);
        this.wakeWaiters();
        return entry;
    }

    /**
     * Reads a part of the stream.
     * @param from - First offset, not before the earliest retained one.
     * @param limit - Maximum number of entries.
     */
    read(from: number, limit: number): LogPage {
        const start = from - this.#earliestOffset;
        const entries = this.#entries.slice(start, start + limit);
        const next = entries.length === 0 ? Math.min(from, this.getNextOffset()) : from + entries.length;
        return { entries, next, earliest: this.#earliestOffset };
    }

    /**
     * Removes the entries before an offset.
     * @param offset - The first offset to retain.
     */
    removeBefore(offset: number): void {
        const count = Math.min(this.#entries.length, Math.max(0, offset - this.#earliestOffset));
        this.#entries = this.#entries.slice(count);
        this.#earliestOffset += count;
    }

    /**
     * Removes the entries that exceed the retention limits.
     * @param maxCount - Maximum number of entries to retain.
     * @param minTime - Wall-clock milliseconds. Entries before this time are removed.
     */
    expire(maxCount: number, minTime: number): void {
        let expiredCount = Math.max(0, this.#entries.length - maxCount);
        while (expiredCount < this.#entries.length && this.#entries[expiredCount].time < minTime) {
            expiredCount += 1;
        }
        if (expiredCount > 0) {
            this.removeBefore(this.#earliestOffset + expiredCount);
        }
    }

    /**
     * Waits for the next append, a call of `wakeWaiters` or the timeout.
     * @param milliseconds - Timeout.
     */
    waitForAppend(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            this.#waiters.add(finish);
        });
    }

    /** Wakes all waiting readers. */
    wakeWaiters(): void {
        for (const waiter of [...this.#waiters]) {
            waiter();
        }
    }
}
