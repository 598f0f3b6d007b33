import { expect } from "earl";
import { describe, it } from "node:test";
import { createPartKeys } from "../../src/quarantine/index.js";

describe("the keys of a prompt's parts", () => {
    it("leave out the last part, which belongs to the request only", () => {
        expect(createPartKeys({ pool: "lm", parts: ["a"] })).toEqual([]);
        expect(createPartKeys({ pool: "lm", parts: ["a", "b", "own"] }).length).toEqual(2);
    });

    it("are equal in all prompts of a pool, and differ with the pool", () => {
        const [key] = createPartKeys({ pool: "lm", parts: ["a", "own"] });
        expect(createPartKeys({ pool: "lm", parts: ["b", "a", "other"] })[1]).toEqual(key);
        expect(createPartKeys({ pool: "label", parts: ["a", "own"] })[0] === key).toEqual(false);
    });

    it("name a part that occurs twice once", () => {
        expect(createPartKeys({ pool: "lm", parts: ["a", "a", "own"] }).length).toEqual(1);
    });

    // Guards against work that grows with the length of a conversation.
    it("are bounded in number", () => {
        const parts = Array.from({ length: 500 }, (...[, index]) => `message ${index}`);
        expect(createPartKeys({ pool: "lm", parts }).length).toEqual(64);
    });
});
