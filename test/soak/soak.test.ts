import { expect } from "earl";
import { describe, it } from "node:test";
import { runSoak } from "../../src/soak/index.js";

const milliseconds = 9_000;

describe("runSoak", () => {
    // Faults occur at any time, overlap and repeat: entries crash, freeze and are restarted, links fail in one or both
    // directions, the log is unavailable, slow or loses acknowledgements, and operators publish concurrently and withdraw
    // versions, all under load. Any effect that a user would notice, other than a truthful refusal, violates an invariant.
    for (const { seed, prefix } of [{ seed: 1, prefix: "127.62.21" }, { seed: 4, prefix: "127.62.22" }]) {
        it(`violates no invariant under the faults of seed ${seed}`, async () => {
            const result = await runSoak({ seed, milliseconds, prefix });
            const timeLine = result.violations.length === 0 ? [] : result.timeLine;
            expect([...result.violations, ...timeLine]).toEqual([]);
            expect([result.injectedFaults >= 2, result.completeAnswers > 0]).toEqual([true, true]);
        });
    }
});
