/**
 * Splits the bytes of an event stream into complete events.
 */
import { createParser } from "eventsource-parser";
import { ByteCollector } from "../common/index.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Any end of a line in a stream of events. */
const lineBreak = /\r\n|\r|\n/;

/** The end of some bytes: of a line, of a line and a carriage return after it, or something else. */
type LineEnd = "none" | "line-feed" | "carriage-return";

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
    readonly #remainder = new ByteCollector();
    /** The end of the remainder that may begin a blank line. */
    #lineEnd: LineEnd = "none";
    #hasEvents = false;
    #id: string | undefined;
    readonly #parser = createParser({ onEvent: event => this.#id = event.id });

    /**
     * Adds bytes, each of which is looked at once: an event may arrive in any number of pieces.
     * @returns The events that are now complete.
     */
    push(bytes: Buffer): readonly StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (;;) {
            const end = findEnd(bytes, start, this.#lineEnd);
            if (end === undefined) {
                break;
            }
            const event = this.#complete(bytes.subarray(start, end));
            this.#hasEvents = true;
            events.push({ bytes: event, id: this.#readId(event) });
            start = end;
        }
        const rest = bytes.subarray(start);
        this.#lineEnd = readLineEnd(rest, this.#lineEnd);
        this.#remainder.add(rest);
        return events;
    }

    /** The number of bytes after the last complete event. */
    get remainderLength(): number {
        return this.#remainder.length;
    }

    /** Returns the bytes after the last complete event. */
    getRemainder(): Buffer {
        return this.#remainder.read();
    }

    /** Whether any event was complete. */
    get hasEvents(): boolean {
        return this.#hasEvents;
    }

    /** Returns whether the bytes after the last complete event begin another one. Comments and blank lines do not. */
    isInsideEvent(): boolean {
        const lines = this.#remainder.read().toString().split(lineBreak);
        const lastBlank = lines.slice(0, -1).lastIndexOf("");
        return lines.slice(lastBlank + 1).some(line => line !== "" && !line.startsWith(":"));
    }

    /** Discards the incomplete event of a stream that is resumed elsewhere. */
    reset(): void {
        this.#remainder.clear();
        this.#lineEnd = "none";
    }

    /** Returns an event whose last bytes have arrived. */
    #complete(last: Buffer): Buffer {
        if (this.#remainder.length === 0) {
            return last;
        }
        this.#remainder.add(last);
        const event = this.#remainder.read();
        this.reset();
        return event;
    }

    #readId(event: Buffer): string | undefined {
        this.#id = undefined;
        this.#parser.reset();
        this.#parser.feed(event.toString());
        return this.#id;
    }
}

/** Returns the position after the next blank line, or undefined when there is none yet. */
function findEnd(bytes: Buffer, from: number, lineEnd: LineEnd): number | undefined {
    const end = from === 0 && lineEnd !== "none" ? findBlankLine(bytes, 0, lineEnd) : undefined;
    if (end !== undefined) {
        return end;
    }
    let position = bytes.indexOf(lineFeed, from);
    while (position >= 0) {
        const end = findBlankLine(bytes, position + 1, "line-feed");
        if (end !== undefined) {
            return end;
        }
        position = bytes.indexOf(lineFeed, position + 1);
    }
    return undefined;
}

/** Returns the position after a blank line of which the bytes before `from` are known; undefined if there is none. */
function findBlankLine(bytes: Buffer, from: number, lineEnd: LineEnd): number | undefined {
    const position = lineEnd === "line-feed" && bytes[from] === carriageReturn ? from + 1 : from;
    return bytes[position] === lineFeed ? position + 1 : undefined;
}

/** Returns the end of the bytes that may begin a blank line. `before` is that of the bytes before them. */
function readLineEnd(bytes: Buffer, before: LineEnd): LineEnd {
    if (bytes.length === 0) {
        return before;
    }
    if (bytes.at(-1) === lineFeed) {
        return "line-feed";
    }
    const isAfterLineFeed = bytes.length === 1 ? before === "line-feed" : bytes.at(-2) === lineFeed;
    return bytes.at(-1) === carriageReturn && isAfterLineFeed ? "carriage-return" : "none";
}
