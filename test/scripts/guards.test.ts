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
    // Code moves, and a guard's text is no longer where the list says. Its proof could then not be tried without the
    // guard, and nobody would notice until somebody does.
    it("names texts that stand exactly once in their files, each with an own name and a test that exists", () => {
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
