import { expect } from "earl";
import { describe, it } from "node:test";
import { PromptHolders } from "../../../src/decisions/dispatch/promptHolders.js";
import { createUpstreams } from "../../fixtures/upstreams.js";

const keys = Array.from({ length: 2_000 }, (...[, index]) => `large subject-${index}`);

describe("PromptHolders", () => {
    it("names the same two runners on every node, whatever order they are known in", () => {
        const runners = createUpstreams(30);
        const [one, other] = [new PromptHolders(), new PromptHolders()];
        for (const key of keys.slice(0, 200)) {
            const first = one.findTwoHolders(runners, key);
            expect(first.length).toEqual(2);
            expect(other.findTwoHolders([...runners].reverse(), key)).toEqual(first);
        }
        expect(one.findTwoHolders(createUpstreams(1), "any")).toEqual(["u1"]);
    });

    // A runner crashes. If the keys of all others moved too, every shared part would be read again at another runner, at the
    // moment at which the rest has least room for it.
    it("moves only the keys of a runner that is gone", () => {
        const runners = createUpstreams(30);
        const holders = new PromptHolders();
        for (const key of keys) {
            const [first, second] = holders.findTwoHolders(runners, key);
            const left = holders.findTwoHolders(runners.filter(runner => runner.id !== "u7"), key);
            expect(left[0]).toEqual(first === "u7" ? second : first);
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
