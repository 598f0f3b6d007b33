import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { chooseFirstModel, WindowedRetryBudget } from "../../../src/decisions/index.js";

const models = ["small", "middle", "large"];
const secondsToReplay = 60;
const requestsPerSecond = 243;
/** Share of the smallest model's answers that are escalated. */
const escalatedShare = 0.46;

/** Time until the smallest model's answer starts. */
const headMilliseconds = 300;

interface FirstModels {
    /** Share of the requests that began with the largest model in the first 10 s, and after them. */
    readonly atStart: number;
    readonly later: number;
    /** Share of the smallest model's poor answers for which no retry was left. */
    readonly stuck: number;
}

/** Replays the start of nodes that share the demand of a pool. Each node has an equal part of the extra retries. */
function replay(nodes: number, getRetriesLeft: (budget: WindowedRetryBudget) => number): FirstModels {
    const clock = new ManualClock(100_000);
    const random = new RandomSource(7);
    const budgets: WindowedRetryBudget[] = [];
    for (let index = 0; index < nodes; index += 1) {
        budgets.push(
            new WindowedRetryBudget({
                clock,
                windowMilliseconds: 10_000,
                getAllowance: () => ({ ratio: 0.9, extra: 188 }),
                getShare: () => 1 / nodes,
            }),
        );
    }
    const pending: { readonly at: number; readonly budget: WindowedRetryBudget; }[] = [];
    const counts = { startRequests: 0, startLargest: 0, laterRequests: 0, laterLargest: 0, poor: 0, stuck: 0 };
    for (let request = 0; request < requestsPerSecond * secondsToReplay; request += 1) {
        clock.advance(1_000 / requestsPerSecond);
        const budget = budgets[random.nextInteger(nodes)];
        const isLargest = chooseFirstModel({
            models,
            retriesLeft: getRetriesLeft(budget),
            attemptsLeft: 3,
            isContinued: false,
            mustYield: () => false,
            isInTime: () => true,
        }) === "large";
        const isAtStart = request < 10 * requestsPerSecond;
        counts[isAtStart ? "startRequests" : "laterRequests"] += 1;
        counts[isAtStart ? "startLargest" : "laterLargest"] += isLargest ? 1 : 0;
        budget.addRequest();
        if (!isLargest && random.next() < escalatedShare) {
            pending.push({ at: clock.monotonic() + headMilliseconds, budget });
        }
        while (pending.length > 0 && pending[0].at <= clock.monotonic()) {
            counts.poor += 1;
            counts.stuck += pending.shift()!.budget.tryAcquire() ? 0 : 1;
        }
    }
    return {
        atStart: counts.startLargest / counts.startRequests,
        later: counts.laterLargest / counts.laterRequests,
        stuck: counts.stuck / counts.poor,
    };
}

describe("chooseFirstModel when many nodes share the retries of a pool", () => {
    // Guards against many times the work at every start and after every quiet moment, when each node has few retries.
    it("begins with the smallest model wherever its poor answers can be escalated", () => {
        for (const nodes of [8, 74]) {
            const { atStart, later, stuck } = replay(nodes, budget => budget.getRemaining(1));
            expect([nodes, atStart, later, stuck]).toEqual([nodes, 0, 0, 0]);
        }
    });

    it("begins less often with the largest model than by the retries that are left before the request counts", () => {
        const baseline = replay(350, budget => budget.getRemaining());
        const { atStart, later, stuck } = replay(350, budget => budget.getRemaining(1));
        expect([atStart < 0.7 * baseline.atStart, later < 0.7 * baseline.later]).toEqual([true, true]);
        expect(stuck < 0.01).toEqual(true);
    });
});
