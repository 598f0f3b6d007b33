import { expect } from "earl";
import { describe, it } from "node:test";
import { getFurtherWait } from "../../../src/decisions/index.js";

const patience = { silentMilliseconds: 1_000, longestMilliseconds: 4_500 };

/** Follows an attempt whose upstream is heard until a moment; returns when it is given up. */
function wait(heardUntil: number): number {
    let elapsed = 0;
    for (;;) {
        // Pieces of other answers come each 50 ms while the upstream works.
        const unheard = elapsed <= heardUntil ? elapsed % 50 : elapsed - heardUntil;
        const further = getFurtherWait({ elapsedMilliseconds: elapsed, unheardMilliseconds: unheard }, patience);
        if (further === 0) {
            return elapsed;
        }
        elapsed += further;
    }
}

describe("getFurtherWait", () => {
    // A third of the runners is gone and the others are crowded for some seconds. Requests that leave a crowded runner for another
    // one are read twice, and every caller waits longer.
    it("stays with an upstream that goes on with other answers, up to a bound", () => {
        expect(wait(10_000)).toEqual(4_500);
    });

    // A runner goes dark: its connections stay open, and nothing comes. Left in time, its requests are still answered within their
    // objective.
    it("leaves an upstream from which nothing has come since the sending", () => {
        expect(wait(0)).toEqual(1_000);
    });

    it("leaves an upstream that falls silent later", () => {
        const givenUpAt = wait(1_500);
        expect(givenUpAt >= 2_500 && givenUpAt <= 2_550).toEqual(true);
    });
});
