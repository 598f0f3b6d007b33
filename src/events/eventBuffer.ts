/**
 * Keeps a process's latest events in memory, from which a time line over all processes is drawn.
 */
import type { EventLine } from "./journal.js";

/** A bounded buffer of events. */
export class EventBuffer {
    readonly #capacity: number;
    #lines: EventLine[] = [];

    /** @param capacity - Events to keep, at least. */
    constructor(capacity: number) {
        this.#capacity = capacity;
    }

    /**
     * Adds an event. The oldest ones go when twice the capacity is reached.
     * @param line - The event.
     */
    add(line: EventLine): void {
        this.#lines.push(line);
        if (this.#lines.length >= 2 * this.#capacity) {
            this.#lines = this.#lines.slice(-this.#capacity);
        }
    }

    /** Returns the events from the oldest to the newest. */
    getLines(): readonly EventLine[] {
        return this.#lines;
    }
}
