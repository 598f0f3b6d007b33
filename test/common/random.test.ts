import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../src/common/index.js";

describe("RandomSource", () => {
    describe("next", () => {
        it("repeats the same numbers for the same seed", () => {
            const first = new RandomSource(7);
            const second = new RandomSource(7);
            expect([first.next(), first.next()]).toEqual([second.next(), second.next()]);
        });

        it("draws from 0 to 1", () => {
            const source = new RandomSource(1);
            for (let index = 0; index < 1000; index += 1) {
                const drawn = source.next();
                expect(drawn >= 0 && drawn < 1).toEqual(true);
            }
        });
    });
});
