/**
 * One stream of the log stand-in.
 */
import type { LogEntry, LogPage, LogRecord } from "../log/index.js";

/** Keeps a stream's entries within its retention and wakes readers that wait for the next one. */
export class LogStream {
    #entries: LogEntry[] = [];
    #earliestOffset = 0;
    readonly #waiters = new Set<() => void>();

    /** Returns the offset that the next append gets. */
    getNextOffset(): number {
        return this.#earliestOffset + this.#entries.length;
    }

    /** Returns the oldest offset that is still kept. */
    getEarliestOffset(): number {
        return this.#earliestOffset;
    }

    /**
     * Appends a record and wakes the readers that wait.
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
     * @param from - First offset; not older than the earliest one.
     * @param limit - Greatest number of entries.
     */
    read(from: number, limit: number): LogPage {
        const start = from - this.#earliestOffset;
        const entries = this.#entries.slice(start, start + limit);
        const next = entries.length === 0 ? Math.min(from, this.getNextOffset()) : from + entries.length;
        return { entries, next, earliest: this.#earliestOffset };
    }

    /**
     * Forgets the entries before an offset.
     * @param offset - The first offset to keep.
     */
    removeBefore(offset: number): void {
        const count = Math.min(this.#entries.length, Math.max(0, offset - this.#earliestOffset));
        this.#entries = this.#entries.slice(count);
        this.#earliestOffset += count;
    }

    /**
     * Forgets what is beyond retention.
     * @param count - Greatest number of entries to keep.
     * @param since - Wall-clock milliseconds; older entries go.
     */
    expire(count: number, since: number): void {
        let excess = Math.max(0, this.#entries.length - count);
        while (excess < this.#entries.length && this.#entries[excess].time < since) {
            excess += 1;
        }
        if (excess > 0) {
            this.removeBefore(this.#earliestOffset + excess);
        }
    }

    /**
     * Waits for the next append, a wake-up or the end of the time.
     * @param milliseconds - How long at most.
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

    /** Wakes all readers that wait. */
    wakeWaiters(): void {
        for (const waiter of [...this.#waiters]) {
            waiter();
        }
    }
}
