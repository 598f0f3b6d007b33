import { expect } from "earl";
import { Writable } from "node:stream";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { type EventLine, LineWriter } from "../../src/events/index.js";
import { waitUntil } from "../../src/testbench/index.js";

function createLine(level: string, counter: number): EventLine {
    return { event: 1, name: "e", level, process: "p", time: 0, counter, request: `r${counter}` };
}

/** A reader of lines that takes none until it is told to. */
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
    // A burst of requests writes thousands of lines a second. The volume stays bounded, says how much is missing, and leaves
    // room for warnings, which are what an operator looks for then.
    it("bounds the volume, says what it left out, and still writes warnings", () => {
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

    // Every line was a write of its own, and a fifth of the processor time of a stream went there: callers wait for that.
    it("writes lines together, and warnings at once", async () => {
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

    // Whoever reads the lines has stalled. The process must neither wait for it nor keep lines without end.
    it("leaves lines out while nobody reads them", () => {
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

    // Whoever reads the lines dies. The error of the next write ended the process, so that callers lost a node for its log.
    it("goes on without lines when their reader is gone", async () => {
        const output = new Writable({ write: (...[, , callback]) => callback(new Error("EPIPE")) });
        const writer = new LineWriter({ clock: new ManualClock(), output });
        writer.write(createLine("warning", 1));
        await writer.flush();
        writer.write(createLine("warning", 2));
        await writer.flush();
        expect(writer.getDroppedCount()).toEqual(1);
    });
});
