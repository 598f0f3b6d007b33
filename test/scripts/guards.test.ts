import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";

interface Guard {
    readonly name: string;
    readonly file: string;
    readonly find: string;
    readonly replace: string;
    readonly test: string;
}

describe("test/guards.json", () => {
    // Guards against outdated entries. When code is moved or changed, a guard's text may no longer occur in the listed
    // file. The guard could then not be disabled to show that its test fails, and nobody would notice until the next
    // run of the guards.
    it("lists texts that occur exactly once in their files, each with a unique name and an existing test", () => {
        const guards = JSON.parse(readFileSync("test/guards.json", "utf8")) as readonly Guard[];
        const misplaced = guards.filter(({ file, find }) => readFileSync(file, "utf8").split(find).length !== 2);
        expect(misplaced.map(guard => guard.name)).toEqual([]);
        expect(guards.filter(guard => guard.find === guard.replace).map(guard => guard.name)).toEqual([]);
        expect(new Set(guards.map(guard => guard.name)).size).toEqual(guards.length);
        const files = readdirSync("test", { recursive: true, encoding: "utf8" });
        const missing = guards.filter(({ test }) => !files.some(file => file.includes(test)));
        expect(missing.map(guard => guard.name)).toEqual([]);
    });
});
