import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryBudget } from "../../../src/decisions/limits/index.js";

describe("RetryBudget", () => {
    describe("take", () => {
        // All upstreams fail at once. With three tries for each request, the load would triple just then.
        it("allows no more retries than its part of the requests once the savings are spent", () => {
            const budget = new RetryBudget({ ratio: 0.1, burst: 5 });
            let taken = 0;
            for (let index = 0; index < 1_000; index += 1) {
                budget.addRequest();
                taken += budget.take() ? 1 : 0;
            }
            expect(taken >= 100 && taken <= 105).toEqual(true);
        });

        it("saves no more than its bound", () => {
            const budget = new RetryBudget({ ratio: 0.5, burst: 3 });
            for (let index = 0; index < 100; index += 1) {
                budget.addRequest();
            }
            expect(budget.getLeft()).toEqual(3);
        });
    });
});
