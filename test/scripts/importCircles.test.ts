import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { describe, it } from "node:test";

const sources = new Set(
    readdirSync("src", { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts"))
        .map(name => join("src", name)),
);

/** Returns the files of src that a file takes something from. */
function findImports(file: string): readonly string[] {
    return [...readFileSync(file, "utf8").matchAll(/from "(\.[^"]+)\.js"/g)]
        .map(([, path]) => normalize(join(dirname(file), `${path}.ts`)))
        .filter(path => sources.has(path));
}

/** Returns the files that remain when those that take nothing from others are left out again and again. */
function findCircular(): readonly string[] {
    const imports = new Map([...sources].map(file => [file, findImports(file)]));
    for (let before = Number.POSITIVE_INFINITY; imports.size < before;) {
        before = imports.size;
        for (const [file, taken] of [...imports]) {
            if (!taken.some(path => imports.has(path))) {
                imports.delete(file);
            }
        }
    }
    return [...imports.keys()];
}

describe("the imports of src", () => {
    // Guards against parts that can no longer be understood, tested or moved one at a time.
    it("have no circles", () => {
        expect(findCircular()).toEqual([]);
    });
});
