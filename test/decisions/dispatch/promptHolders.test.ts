import { expect } from "earl";
import { describe, it } from "node:test";
import { PromptHolders } from "../../../src/decisions/dispatch/promptHolders.js";
import { createUpstreams } from "../../fixtures/upstreams.js";

const keys = Array.from({ length: 2_000 }, (...[, index]) => `large subject-${index}`);

describe("PromptHolders", () => {
    it("returns the same two runners on every node, independent of their order", () => {
        const runners = createUpstreams(30);
        const [one, other] = [new PromptHolders(), new PromptHolders()];
        for (const key of keys.slice(0, 200)) {
            const first = one.findTwoHolders(runners, key);
            expect(first.length).toEqual(2);
            expect(other.findTwoHolders([...runners].reverse(), key)).toEqual(first);
        }
        expect(one.findTwoHolders(createUpstreams(1), "any")).toEqual(["u1"]);
    });

    // Guards against reassigned keys after a runner crash. If keys of the remaining runners moved too, every shared part would be
    // prefilled again at another runner, at the moment when the remaining ones have the least free capacity.
    it("moves only the keys of a removed runner", () => {
        const runners = createUpstreams(30);
        const holders = new PromptHolders();
        for (const key of keys) {
            const [first, second] = holders.findTwoHolders(runners, key);
            const remaining = holders.findTwoHolders(runners.filter(runner => runner.id !== "u7"), key);
            expect(remaining[0]).toEqual(first === "u7" ? second : first);
        }
    });

    it("spreads keys over all runners", () => {
        const counts = new Map<string, number>();
        const holders = new PromptHolders();
        const runners = createUpstreams(30);
        for (const key of keys) {
            const [first] = holders.findTwoHolders(runners, key);
            counts.set(first, (counts.get(first) ?? 0) + 1);
        }
        expect(counts.size).toEqual(30);
        expect(Math.max(...counts.values()) < 3 * keys.length / 30).toEqual(true);
    });
});
