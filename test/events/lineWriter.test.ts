import { expect } from "earl";
import { Writable } from "node:stream";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { type EventLine, LineWriter } from "../../src/events/index.js";
import { waitUntil } from "../../src/testbench/index.js";

function createLine(level: string, counter: number): EventLine {
    return { event: 1, name: "e", level, process: "p", time: 0, counter, request: `r${counter}` };
}

/** Creates an output that collects lines, or one that never accepts any. */
function createOutput(isStalled: boolean) {
    const lines: EventLine[] = [];
    const writes: string[] = [];
    const output = new Writable({
        write: (...[chunk, , callback]) => {
            if (!isStalled) {
                writes.push(String(chunk));
                for (const line of String(chunk).split("\n").filter(text => text !== "")) {
                    lines.push(JSON.parse(line) as EventLine);
                }
                callback();
            }
        },
    });
    return { lines, writes, output };
}

describe("LineWriter", () => {
    // A burst of requests writes thousands of lines per second and fills the disk or delays the process. The volume must stay
    // bounded, the number of dropped lines must be reported, and warnings must still be written, because an operator needs
    // them in this situation.
    it("bounds the volume, reports the number of dropped lines, and still writes warnings", () => {
        const clock = new ManualClock();
        const { lines, output } = createOutput(false);
        const writer = new LineWriter({ clock, output });
        for (let index = 0; index < 5_000; index += 1) {
            writer.write(createLine("info", index));
        }
        void writer.flush();
        const written = lines.length;
        expect(written < 1_200).toEqual(true);
        writer.write(createLine("warning", 9_999));
        expect(lines.slice(written).map(line => [line.name, line.count])).toEqual([
            ["lines-left-out", 5_000 - written],
            ["e", undefined],
        ]);
        clock.advance(1_000);
        writer.write(createLine("info", 10_000));
        void writer.flush();
        expect([lines.at(-1)?.counter, writer.getDroppedCount()]).toEqual([10_000, 5_000 - written]);
    });

    // With one write per line, writing takes a fifth of the processor time of a stream, and callers wait longer.
    it("writes lines in batches, and warnings immediately", async () => {
        const { lines, writes, output } = createOutput(false);
        const writer = new LineWriter({ clock: new ManualClock(), output });
        for (let index = 0; index < 20; index += 1) {
            writer.write(createLine("info", index));
        }
        expect(writes.length).toEqual(0);
        await waitUntil(() => lines.length === 20, { description: "the lines" });
        expect(writes.length).toEqual(1);
        writer.write(createLine("info", 20));
        writer.write(createLine("warning", 21));
        expect([writes.length, lines.length]).toEqual([2, 22]);
    });

    // The reader of the lines has stalled. If the process waited for it, callers would wait too; if it buffered all lines, its
    // memory would grow without limit.
    it("drops lines while the reader is stalled", () => {
        const clock = new ManualClock();
        const { output } = createOutput(true);
        const writer = new LineWriter({ clock, output });
        for (let second = 0; second < 60; second += 1) {
            clock.advance(1_000);
            for (let index = 0; index < 400; index += 1) {
                writer.write(createLine("info", index));
            }
        }
        expect(writer.getDroppedCount() > 0).toEqual(true);
        expect(output.writableLength < 600 * 1_024).toEqual(true);
    });

    // The reader of the lines dies. Without a handler, the error of the next write ends the process, and callers lose a node
    // because of its log output.
    it("continues without writing lines after the reader has died", async () => {
        const output = new Writable({ write: (...[, , callback]) => callback(new Error("EPIPE")) });
        const writer = new LineWriter({ clock: new ManualClock(), output });
        writer.write(createLine("warning", 1));
        await writer.flush();
        writer.write(createLine("warning", 2));
        await writer.flush();
        expect(writer.getDroppedCount()).toEqual(1);
    });
});
