/**
 * Stores a process's latest events in memory, for time lines over all processes.
 */
import type { EventLine } from "./journal.js";

/** Represents a bounded buffer of events. */
export class EventBuffer {
    readonly #capacity: number;
    #lines: EventLine[] = [];

    /** @param capacity - Minimum number of latest events to retain. */
    constructor(capacity: number) {
        this.#capacity = capacity;
    }

    /**
     * Adds an event. The earliest events are removed when twice the capacity is reached.
     * @param line - The event.
     */
    add(line: EventLine): void {
        this.#lines.push(line);
        if (this.#lines.length >= 2 * this.#capacity) {
            this.#lines = this.#lines.slice(-this.#capacity);
        }
    }

    /** Returns the events in the order in which they were added. */
    getLines(): readonly EventLine[] {
        return this.#lines;
    }
}
