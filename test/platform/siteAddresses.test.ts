import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";

/** Blocks of loopback addresses that sites of the platform use, whose ports are fixed. */
const blockPattern = /\b127\.7\d\.\d+\b/g;

function findBlocks(): ReadonlyMap<string, ReadonlySet<string>> {
    const files = new Map<string, Set<string>>();
    for (const entry of readdirSync("test", { recursive: true, withFileTypes: true })) {
        if (!entry.name.endsWith(".test.ts")) {
            continue;
        }
        const file = join(entry.path, entry.name);
        for (const [block] of readFileSync(file, "utf8").matchAll(blockPattern)) {
            files.set(block, (files.get(block) ?? new Set()).add(file));
        }
    }
    return files;
}

describe("sites of the platform", () => {
    // Guards against test files that run at the same time and listen at the same addresses, so that one fails now and then.
    it("have addresses of their own in each test file", () => {
        const blocks = findBlocks();
        expect(blocks.size).toBeGreaterThan(0);
        expect([...blocks].filter(([, files]) => files.size > 1)).toEqual([]);
    });
});
