import { expect } from "earl";
import { describe, it } from "node:test";
import { CallerMemory } from "../../../src/decisions/limits/callerMemory.js";

describe("CallerMemory", () => {
    describe("add", () => {
        // Names of callers come from outside. Without a bound, one that invents names fills the entry's memory.
        it("forgets who was told longest ago past its size", () => {
            const memory = new CallerMemory(10);
            for (let index = 0; index < 1_000; index += 1) {
                memory.add(`caller-${index}`, { notBefore: 5_000, earlyReturns: 0 });
            }
            const remembered = [...Array(1_000).keys()].filter(index =>
                memory.getEarlyReturns(`caller-${index}`, 1_000) > 0
            );
            expect(remembered).toEqual([990, 991, 992, 993, 994, 995, 996, 997, 998, 999]);
        });
    });

    describe("getEarlyReturns", () => {
        it("counts returns before the time that was told, and none after it", () => {
            const memory = new CallerMemory(10);
            memory.add("clerk", { notBefore: 5_000, earlyReturns: 2 });
            expect([memory.getEarlyReturns("clerk", 4_999), memory.getEarlyReturns("clerk", 5_000)]).toEqual([3, 0]);
        });
    });
});
