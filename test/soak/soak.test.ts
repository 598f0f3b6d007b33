import { expect } from "earl";
import { describe, it } from "node:test";
import { runSoak } from "../../src/soak/index.js";

const milliseconds = 9_000;

describe("runSoak", () => {
    // Anything may come at any moment, together or twice: entries die, stall and are replaced, links break one way or
    // both, the log is away, slow or loses acknowledgements, operators race and withdraw versions, while callers work.
    // Whatever a user would notice of that, beyond a refusal that is true, is a broken promise.
    for (const { seed, prefix } of [{ seed: 1, prefix: "127.62.21" }, { seed: 4, prefix: "127.62.22" }]) {
        it(`keeps every promise under the faults of seed ${seed}`, async () => {
            const result = await runSoak({ seed, milliseconds, prefix });
            const timeLine = result.violations.length === 0 ? [] : result.timeLine;
            expect([...result.violations, ...timeLine]).toEqual([]);
            expect([result.injectedFaults >= 2, result.completeAnswers > 0]).toEqual([true, true]);
        });
    }
});
