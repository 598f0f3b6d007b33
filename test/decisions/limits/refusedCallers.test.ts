import { expect } from "earl";
import { describe, it } from "node:test";
import { RefusedCallers } from "../../../src/decisions/limits/refusedCallers.js";

describe("RefusedCallers", () => {
    describe("add", () => {
        // Guards against unbounded memory. Caller names are external input, so a caller that makes up names could fill the entry's memory.
        it("removes the caller that was refused longest ago when it is full", () => {
            const refusedCallers = new RefusedCallers(10);
            for (let index = 0; index < 1_000; index += 1) {
                refusedCallers.add(`caller-${index}`, { notBefore: 5_000, earlyRetries: 0 });
            }
            const storedIndexes = [...Array(1_000).keys()].filter(index =>
                refusedCallers.countEarlyRetries(`caller-${index}`, 1_000) > 0
            );
            expect(storedIndexes).toEqual([990, 991, 992, 993, 994, 995, 996, 997, 998, 999]);
        });
    });

    describe("countEarlyRetries", () => {
        it("counts retries before the given time, and none after it", () => {
            const refusedCallers = new RefusedCallers(10);
            refusedCallers.add("clerk", { notBefore: 5_000, earlyRetries: 2 });
            expect([refusedCallers.countEarlyRetries("clerk", 4_999), refusedCallers.countEarlyRetries("clerk", 5_000)])
                .toEqual([
                    3,
                    0,
                ]);
        });
    });
});
