import { expect } from "earl";
import { describe, it } from "node:test";
import { ByteCollector } from "../../src/common/index.js";

function collect(pieces: readonly Buffer[]): Buffer {
    const collector = new ByteCollector();
    for (const piece of pieces) {
        collector.add(piece);
    }
    return collector.read();
}

describe("ByteCollector", () => {
    it("returns all bytes in their order", () => {
        const sizes = [1, 300, 900, 0, 40_000, 7, 2_000, 70_000, 1];
        const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1));
        expect(collect(pieces).equals(Buffer.concat(pieces))).toEqual(true);
    });

    // Guards against short answers that each hold a large block of memory.
    it("holds little more than a short answer", () => {
        expect(collect([Buffer.alloc(300)]).buffer.byteLength <= 1_024).toEqual(true);
        const answer = collect(Array.from({ length: 30 }, () => Buffer.alloc(300)));
        expect(answer.buffer.byteLength <= 3 * answer.length).toEqual(true);
    });
});
