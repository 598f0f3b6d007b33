/**
 * Splits the bytes of an event stream into complete events.
 */
import { createParser } from "eventsource-parser";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** A complete event with the bytes to forward. */
export interface StreamEvent {
    readonly bytes: Buffer;
    /** The event's identifier, if it has one. */
    readonly id: string | undefined;
}

/**
 * Splits a stream at the blank lines between events. An upstream may fail in the middle of an event. If the bytes of the
 * incomplete event were forwarded, they would be joined to the next event when the stream is resumed at another upstream, and the
 * caller would read a corrupt event. Therefore only complete events are returned.
 */
export class EventSplitter {
    #remainder: Buffer = Buffer.alloc(0);
    #id: string | undefined;
    readonly #parser = createParser({ onEvent: event => this.#id = event.id });

    /**
     * Adds bytes.
     * @returns The events that are now complete.
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

    /** Returns the bytes after the last complete event. */
    getRemainder(): Buffer {
        return this.#remainder;
    }

    /** Discards the incomplete event of a stream that is resumed elsewhere. */
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
