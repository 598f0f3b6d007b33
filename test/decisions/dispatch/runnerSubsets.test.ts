import { expect } from "earl";
import { describe, it } from "node:test";
import { RunnerSubsets } from "../../../src/decisions/dispatch/runnerSubsets.js";
import { createUpstream } from "../../fixtures/upstreams.js";

const runners = Array.from(
    { length: 138 },
    (...[, index]) => createUpstream(`u${index}`, { failureDomain: `d${index % 6}` }),
);

function createSubsets(self: string): RunnerSubsets {
    return new RunnerSubsets({ self, failureDomain: "d1" });
}

describe("RunnerGroups", () => {
    it("chooses among few runners of the own failure domain, and those that may hold the prompt", () => {
        const own = createSubsets("n-1").selectCandidates(runners, ["u0", "u2"]);
        expect(own.length).toEqual(14);
        expect(own.slice(0, 12).every(({ failureDomain }) => failureDomain === "d1")).toEqual(true);
        expect(own.slice(12).map(({ id }) => id)).toEqual(["u0", "u2"]);
        const [{ id }] = own;
        expect(createSubsets("n-1").selectCandidates(runners, [id]).length).toEqual(12);
    });

    // Each request to a pool of a hundred runners and more ranked all of them anew, which took longer than the rest of the choice.
    it("ranks a list once, and another list anew", () => {
        const groups = createSubsets("n-1");
        let reads = 0;
        const instrumented = runners.map(runner => ({
            ...runner,
            get failureDomain() {
                reads += 1;
                return runner.failureDomain;
            },
        }));
        groups.selectCandidates(instrumented, []);
        const ranked = reads;
        expect(ranked >= runners.length).toEqual(true);
        groups.selectCandidates(instrumented, []);
        expect(reads).toEqual(ranked);
        groups.selectCandidates([...instrumented], []);
        expect(reads > ranked).toEqual(true);
    });
});
