import { expect } from "earl";
import { describe, it } from "node:test";
import { PrefixTable } from "../../../src/decisions/placement/prefixTable.js";

describe("PrefixTable", () => {
    describe("add", () => {
        // Guards against unbounded growth: new prompts arrive all the time and would fill the entry's memory within hours.
        it("removes the oldest block when it is full", () => {
            const table = new PrefixTable(100);
            for (let index = 0; index < 1_000; index += 1) {
                table.add("runner-0", String(index));
            }
            expect(table.getSize()).toEqual(100);
            expect(table.getMatches(["0"], 3)).toEqual([]);
            expect(table.getMatches(["999"], 3).map(match => match.upstream)).toEqual(["runner-0"]);
        });
    });

    describe("getMatches", () => {
        it("returns the holders of the longest prefixes first, each once", () => {
            const table = new PrefixTable(100);
            for (const block of ["a", "b", "c"]) {
                table.add("runner-0", block);
            }
            table.add("runner-1", "a");
            expect(table.getMatches(["a", "b", "c", "d"], 3).map(match => [match.upstream, match.blocks])).toEqual([
                ["runner-0", 3],
                ["runner-1", 1],
            ]);
        });

        it("does not return a removed runner", () => {
            const table = new PrefixTable(100);
            table.add("runner-0", "a");
            table.removeUpstream("runner-0");
            expect(table.getMatches(["a"], 3)).toEqual([]);
        });
    });
});
