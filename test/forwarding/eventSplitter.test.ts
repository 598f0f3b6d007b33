import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { EventSplitter } from "../../src/forwarding/index.js";

const stream =
    "id: 1\ndata: first\n\nid: 2\nweight-versions: 7\ndata: second\n\ndata: no id\n\nid: 3\r\ndata: crlf\r\n\r\n";

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
});
