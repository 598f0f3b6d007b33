import { expect } from "earl";
import { describe, it } from "node:test";
import { RunnerGroups } from "../../../src/decisions/dispatch/runnerGroups.js";
import { createUpstream } from "../../fixtures/upstreams.js";

const runners = Array.from(
    { length: 138 },
    (...[, index]) => createUpstream(`u${index}`, { failureDomain: `d${index % 6}` }),
);

function createGroups(self: string): RunnerGroups {
    return new RunnerGroups({ self, failureDomain: "d1" });
}

describe("RunnerGroups", () => {
    it("chooses among few runners of the own failure domain, and those that may hold the prompt", () => {
        const own = createGroups("n-1").selectOwn(runners, ["u0", "u2"]);
        expect(own.length).toEqual(14);
        expect(own.slice(0, 12).every(({ failureDomain }) => failureDomain === "d1")).toEqual(true);
        expect(own.slice(12).map(({ id }) => id)).toEqual(["u0", "u2"]);
        const [{ id }] = own;
        expect(createGroups("n-1").selectOwn(runners, [id]).length).toEqual(12);
    });

    // Each request to a pool of a hundred runners and more ranked all of them anew, which took longer than the rest of the choice.
    it("ranks a list once, and another list anew", () => {
        const groups = createGroups("n-1");
        let looks = 0;
        const watched = runners.map(runner => ({
            ...runner,
            get failureDomain() {
                looks += 1;
                return runner.failureDomain;
            },
        }));
        groups.selectOwn(watched, []);
        const ranked = looks;
        expect(ranked >= runners.length).toEqual(true);
        groups.selectOwn(watched, []);
        expect(looks).toEqual(ranked);
        groups.selectOwn([...watched], []);
        expect(looks > ranked).toEqual(true);
    });
});
