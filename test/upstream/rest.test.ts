import { expect } from "earl";
import { describe, it } from "node:test";
import { readRest } from "../../src/upstream/index.js";

const date = "Fri, 04 Dec 2026 10:00:00 GMT";
const wallTime = Date.parse(date) + 7_000;

function read(retryAfter: string | undefined, status = 503, ownDate = date) {
    const rest = readRest({ status, retryAfter, date: ownDate === "" ? undefined : ownDate }, wallTime);
    return rest.kind === "asked" ? rest.milliseconds : rest.kind;
}

describe("readRest", () => {
    it("reads seconds, also with a fraction and for a day", () => {
        expect(["3", " 3 ", "0.25", "86400"].map(value => read(value))).toEqual([3_000, 3_000, 250, 86_400_000]);
    });

    // Guards against rests that are too short or too long because the clocks of two machines differ.
    it("compares a date with the time of the answer, and with the own time where it has none", () => {
        const end = "Fri, 04 Dec 2026 10:00:09 GMT";
        expect([read(end), read(end, 503, ""), read(end, 503, "never")]).toEqual([9_000, 2_000, 2_000]);
    });

    it("ignores what asks for no rest", () => {
        expect([read("0"), read(undefined), read("Fri, 04 Dec 2026 09:00:00 GMT")]).toEqual(["none", "none", "none"]);
    });

    it("reads it with rejections only", () => {
        expect([200, 421, 500, 504, 429, 503].map(status => read("3", status))).toEqual(
            ["none", "none", "none", "none", 3_000, 3_000],
        );
    });

    it("reports what cannot be read", () => {
        const values = ["", "soon", "-3", "1e999", "3 s", "\u0000\u00ff"];
        expect(values.map(value => read(value))).toEqual(values.map(() => "unreadable"));
    });
});
