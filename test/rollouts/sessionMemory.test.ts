import { expect } from "earl";
import { describe, it } from "node:test";
import { SessionMemory } from "../../src/rollouts/sessionMemory.js";

describe("SessionMemory", () => {
    it("forgets after its time", () => {
        const memory = new SessionMemory(5_000);
        memory.set("s", "v1", 1_000);
        expect([memory.getOthers("v2", 5_900), memory.getOthers("v2", 6_100)]).toEqual([["s"], []]);
    });

    it("returns the sessions whose last request another version served", () => {
        const memory = new SessionMemory(5_000);
        memory.set("s-1", "v1", 0);
        memory.set("s-2", "v1", 0);
        memory.set("s-2", "v2", 1);
        expect(memory.getOthers("v2", 2)).toEqual(["s-1"]);
    });
});
