import { expect } from "earl";
import { describe, it } from "node:test";
import { RefusedCallers } from "../../../src/decisions/limits/refusedCallers.js";

describe("CallerMemory", () => {
    describe("add", () => {
        // Names of callers come from outside. Without a bound, one that invents names fills the entry's memory.
        it("forgets who was told longest ago past its size", () => {
            const memory = new RefusedCallers(10);
            for (let index = 0; index < 1_000; index += 1) {
                memory.add(`caller-${index}`, { notBefore: 5_000, earlyRetries: 0 });
            }
            const remembered = [...Array(1_000).keys()].filter(index =>
                memory.countEarlyRetries(`caller-${index}`, 1_000) > 0
            );
            expect(remembered).toEqual([990, 991, 992, 993, 994, 995, 996, 997, 998, 999]);
        });
    });

    describe("getEarlyReturns", () => {
        it("counts returns before the time that was told, and none after it", () => {
            const memory = new RefusedCallers(10);
            memory.add("clerk", { notBefore: 5_000, earlyRetries: 2 });
            expect([memory.countEarlyRetries("clerk", 4_999), memory.countEarlyRetries("clerk", 5_000)]).toEqual([
                3,
                0,
            ]);
        });
    });
});
