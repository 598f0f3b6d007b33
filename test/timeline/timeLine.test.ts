import { expect } from "earl";
import { describe, it } from "node:test";
import type { EventLine } from "../../src/events/index.js";
import { createTimeLinePage, formatTimeLine, mergeEvents } from "../../src/timeline/index.js";

function createLine(process: string, counter: number, time: number, fields: object = {}): EventLine {
    return { event: 400 + counter, name: `event-${counter}`, level: "info", process, time, counter, ...fields };
}

describe("mergeEvents", () => {
    // The clock of one VM is half a minute behind. Sorted by wall-clock time, its answer would precede the request from
    // another VM, and an operator would look for the cause in the wrong place.
    it("shows a cause before its effect although the clocks differ", () => {
        const question = createLine("entry-1", 5, 100_000);
        const answer = createLine("entry-2", 6, 70_000);
        const merged = mergeEvents([answer, question]);
        expect(merged.map(({ line }) => line.process)).toEqual(["entry-1", "entry-2"]);
        expect(merged.map(({ shownMilliseconds }) => shownMilliseconds)).toEqual([0, 0]);
    });

    it("removes duplicates", () => {
        const line = createLine("entry-1", 1, 0);
        expect(mergeEvents([line, { ...line }]).length).toEqual(1);
    });

    it("orders unrelated events by time", () => {
        const merged = mergeEvents([createLine("entry-2", 3, 20), createLine("entry-1", 3, 10)]);
        expect(merged.map(({ line }) => line.process)).toEqual(["entry-1", "entry-2"]);
    });
});

describe("formatTimeLine", () => {
    it("formats time, process, number, name and fields", () => {
        const merged = mergeEvents([createLine("entry-1", 1, 10), createLine("entry-1", 2, 35, { version: "a@1" })]);
        expect(formatTimeLine(merged).split("\n")[1]).toEqual("    +25 ms  entry-1  402 event-2  version=a@1");
    });
});

describe("createTimeLinePage", () => {
    it("escapes the fields of events", () => {
        const page = createTimeLinePage("a <b>", mergeEvents([createLine("entry-1", 1, 0, { text: "<script>" })]));
        expect(page).not.toEqual(expect.includes("<script>"));
        expect(page).toEqual(expect.includes("&lt;script&gt;"));
    });
});
