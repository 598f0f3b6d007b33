import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../../src/common/index.js";
import { WindowedRetryBudget } from "../../../src/decisions/index.js";

const windowMilliseconds = 10_000;

function createBudget(options: { readonly extra?: number; readonly nodes?: number; } = {}) {
    const clock = new ManualClock(100_000);
    const budget = new WindowedRetryBudget({
        clock,
        windowMilliseconds,
        getAllowance: () => ({ ratio: 0.9, extra: options.extra ?? 0 }),
        getShare: () => 1 / (options.nodes ?? 1),
    });
    return { clock, budget };
}

describe("WindowedRetryBudget", () => {
    // Guards against retry storms. If every runner fails every request and each request is retried as often as its route allows,
    // the runners would get three times their load when they can handle the least.
    it("keeps retries below their ratio in every window while all requests fail", () => {
        const { clock, budget } = createBudget();
        const sent: { readonly at: number; readonly isRetry: boolean; }[] = [];
        for (let step = 0; step < 4_000; step += 1) {
            clock.advance(10);
            const rate = step < 2_000 ? 1 : 5;
            if (step % rate === 0) {
                budget.addRequest();
                sent.push({ at: clock.monotonic(), isRetry: false });
            }
            for (let retry = 0; retry < 2; retry += 1) {
                if (budget.tryAcquire()) {
                    sent.push({ at: clock.monotonic(), isRetry: true });
                }
            }
        }
        for (let from = 100_000; from < 130_000; from += 500) {
            const window = sent.filter(({ at }) => at >= from && at < from + windowMilliseconds);
            const before = sent.filter(({ at }) => at >= from - windowMilliseconds && at < from && from > 110_000);
            const requests = window.filter(({ isRetry }) => !isRetry).length;
            const requestsBefore = before.filter(({ isRetry }) => !isRetry).length;
            const retries = window.length - requests;
            expect(retries <= 0.9 * Math.max(requests, requestsBefore)).toEqual(true);
        }
    });

    it("divides the retries beyond the ratio among the nodes", () => {
        const { budget } = createBudget({ extra: 56, nodes: 8 });
        let taken = 0;
        while (budget.tryAcquire()) {
            taken += 1;
        }
        expect(taken).toEqual(6);
    });

    it("does not count retries after their window has passed", () => {
        const { clock, budget } = createBudget({ extra: 10 });
        while (budget.tryAcquire()) {
            // Uses up the budget.
        }
        clock.advance(windowMilliseconds + 1_000);
        expect(budget.tryAcquire()).toEqual(true);
    });

    it("keeps a reserve for more important requests", () => {
        const { budget } = createBudget({ extra: 10 });
        expect([budget.tryAcquire(9), budget.tryAcquire()]).toEqual([false, true]);
    });
});
