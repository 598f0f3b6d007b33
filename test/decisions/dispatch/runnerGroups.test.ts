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

    it("takes the same half of each failure domain for long prompts on every node", () => {
        const forLong = createGroups("n-1").findForLong(runners);
        expect(forLong.size).toEqual(6 * 11);
        expect(createGroups("n-2").findForLong([...runners].reverse())).toEqual(forLong);
    });

    // Each request to a pool of a hundred runners and more ranked all of them anew, which took longer than the rest of the choice.
    it("divides a list once, and another list anew", () => {
        const groups = createGroups("n-1");
        const forLong = groups.findForLong(runners);
        expect(groups.findForLong(runners) === forLong).toEqual(true);
        expect(groups.findForLong(runners.slice(0, 12)).size < forLong.size).toEqual(true);
    });
});
