import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryBudget } from "../../../src/decisions/limits/index.js";

describe("RetryBudget", () => {
    describe("tryAcquire", () => {
        // Guards against multiplied load. If all upstreams fail at once and each request is attempted three times, the load triples.
        it("allows no more retries than its share of the requests once the burst is used up", () => {
            const budget = new RetryBudget({ ratio: 0.1, burst: 5 });
            let taken = 0;
            for (let index = 0; index < 1_000; index += 1) {
                budget.addRequest();
                taken += budget.tryAcquire() ? 1 : 0;
            }
            expect(taken >= 100 && taken <= 105).toEqual(true);
        });

        it("accumulates no more than its burst", () => {
            const budget = new RetryBudget({ ratio: 0.5, burst: 3 });
            for (let index = 0; index < 100; index += 1) {
                budget.addRequest();
            }
            expect(budget.getRemaining()).toEqual(3);
        });
    });
});
