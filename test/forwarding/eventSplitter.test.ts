import { expect } from "earl";
import fc from "fast-check";
import { afterEach, describe, it, mock } from "node:test";
import { EventSplitter } from "../../src/forwarding/index.js";

const stream =
    "id: 1\ndata: first\n\nid: 2\nweight-versions: 7\ndata: second\n\ndata: no id\n\nid: 3\r\ndata: crlf\r\n\r\n";

const pieces = 64;
const eventBytes = 1024 * 1024;

afterEach(() => mock.restoreAll());

/** Counts the bytes that are searched for a line feed, and those that are copied to join pieces. */
function countBytes() {
    const count = { scanned: 0, copied: 0 };
    const { concat } = Buffer;
    mock.method(Buffer, "concat", (list: readonly Uint8Array[]) => {
        const joined = concat(list);
        count.copied += joined.length;
        return joined;
    });
    const search = Buffer.prototype.indexOf;
    mock.method(Buffer.prototype, "indexOf", function(this: Buffer, value: number, from = 0) {
        const found = search.call(this, value, from);
        count.scanned += (found < 0 ? this.length : found) - from;
        return found;
    });
    return count;
}

function split(pieces: readonly Buffer[]) {
    const splitter = new EventSplitter();
    const events = pieces.flatMap(piece => splitter.push(piece));
    return { ids: events.map(event => event.id), bytes: Buffer.concat(events.map(event => event.bytes)), splitter };
}

describe("EventSplitter", () => {
    it("returns complete events with unchanged bytes, wherever the stream is split", () => {
        fc.assert(fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), cuts => {
            const borders = [0, ...cuts.sort((first, second) => first - second), stream.length];
            const pieces = borders.slice(1).map((border, index) => Buffer.from(stream.slice(borders[index], border)));
            const { ids, bytes } = split(pieces);
            expect(bytes.toString()).toEqual(stream);
            expect(ids).toEqual(["1", "2", undefined, "3"]);
        }));
    });

    // A runner fails in the middle of an event, and the stream is resumed at another runner. If the two parts were joined, the
    // caller would receive an event that no runner sent.
    it("discards an incomplete event", () => {
        const { splitter } = split([Buffer.from("id: 1\ndata: a\n\nid: 2\nda")]);
        expect(splitter.getRemainder().toString()).toEqual("id: 2\nda");
        splitter.reset();
        expect(splitter.push(Buffer.from("id: 2\ndata: b\n\n")).map(event => event.bytes.toString())).toEqual([
            "id: 2\ndata: b\n\n",
        ]);
    });

    // Guards against a broken-off stream that passes for whole, and against a whole one that is cut for what follows its last event.
    it("tells whether a stream has ended inside an event", () => {
        const complete = "id: 1\ndata: a\n\n";
        const whole = ["", "\n", "\r\n", ": comment", ": comment\n", ": one\n\n: two\n"];
        const inside = ["i", "id: 2", "id: 2\n", "id: 2\ndata: b\n", ": comment\ndata", "data\r"];
        const isInside = (rest: string): boolean => split([Buffer.from(complete + rest)]).splitter.isInsideEvent();
        expect(whole.filter(isInside)).toEqual([]);
        expect(inside.filter(isInside)).toEqual(inside);
        // Lines that end with a carriage return alone.
        const lone = complete.replaceAll("\n", "\r");
        expect([`${lone}${lone}`, `${lone}data`].map(text => split([Buffer.from(text)]).splitter.isInsideEvent()))
            .toEqual([false, true]);
    });

    // Guards against a node that stands still for seconds over one event that never ends.
    for (const content of ["data", "data: line\n"]) {
        it(`reads and copies each byte of an event of ${JSON.stringify(content)} at most three times`, () => {
            const piece = Buffer.from(content.repeat(eventBytes / pieces / content.length));
            const count = countBytes();
            const { splitter } = split(Array.from({ length: pieces }, () => piece));
            expect(splitter.getRemainder().length).toEqual(piece.length * pieces);
            expect(count.scanned <= 3 * eventBytes && count.copied <= 3 * eventBytes).toEqual(true);
        });
    }

    // Guards against an object for each byte of an answer that arrives byte by byte.
    it("keeps an event that arrives byte by byte", () => {
        const text = `${"data: a\n".repeat(20_000)}\n`;
        const { bytes } = split(Array.from(text, letter => Buffer.from(letter)));
        expect(bytes.equals(Buffer.from(text))).toEqual(true);
    });
});
