/**
 * Splits the bytes of an event stream into whole events.
 */
import { createParser } from "eventsource-parser";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** A whole event, with the bytes to pass on. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** Its identifier, if it has one. */
    readonly id: string | undefined;
}

/**
 * Cuts a stream at the blank lines between events. An upstream that breaks off may stop in the middle of an event; bytes of
 * an unfinished event passed on would be joined to the event with which the stream goes on elsewhere, and the caller would
 * read a spoilt one. So only whole events leave.
 */
export class EventSplitter {
    #remainder: Buffer = Buffer.alloc(0);
    #id: string | undefined;
    readonly #parser = createParser({ onEvent: event => this.#id = event.id });

    /**
     * Takes in bytes.
     * @returns The events that are whole by now.
     */
    push(bytes: Buffer): readonly StreamEvent[] {
        const data = this.#remainder.length === 0 ? bytes : Buffer.concat([this.#remainder, bytes]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (;;) {
            const end = findEnd(data, start);
            if (end === undefined) {
                break;
            }
            const event = data.subarray(start, end);
            events.push({ bytes: event, id: this.#readId(event) });
            start = end;
        }
        this.#remainder = data.subarray(start);
        return events;
    }

    /** Returns the bytes after the last whole event. */
    getRemainder(): Buffer {
        return this.#remainder;
    }

    /** Forgets the unfinished event of a stream that goes on elsewhere. */
    reset(): void {
        this.#remainder = Buffer.alloc(0);
    }

    #readId(event: Buffer): string | undefined {
        this.#id = undefined;
        this.#parser.reset();
        this.#parser.feed(event.toString());
        return this.#id;
    }
}

/** Returns the position after the next blank line, or undefined when there is none yet. */
function findEnd(data: Buffer, from: number): number | undefined {
    let position = data.indexOf(lineFeed, from);
    while (position >= 0) {
        const next = data[position + 1];
        if (next === lineFeed) {
            return position + 2;
        }
        if (next === carriageReturn && data[position + 2] === lineFeed) {
            return position + 3;
        }
        position = data.indexOf(lineFeed, position + 1);
    }
    return undefined;
}
