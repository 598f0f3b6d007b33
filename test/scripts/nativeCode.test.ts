import { expect } from "earl";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";

interface Lock {
    readonly packages: Readonly<Record<string, { readonly dev?: boolean; readonly optional?: boolean; }>>;
}

/** Returns the native modules in the packages that the programs use when they run. */
function findNativeModules(): readonly string[] {
    const { packages } = JSON.parse(readFileSync("package-lock.json", "utf8")) as Lock;
    const folders = Object.entries(packages)
        .filter(([folder, { dev }]) => folder !== "" && dev !== true && existsSync(folder))
        .map(([folder]) => folder);
    expect(folders.length).toBeGreaterThan(20);
    return folders.flatMap(folder =>
        readdirSync(folder, { recursive: true })
            .map(file => join(folder, String(file)))
            .filter(file => file.endsWith(".node"))
    );
}

describe("the libraries of the programs", () => {
    // Guards against a library that sets TCP_USER_TIMEOUT, which Node cannot: the kernel would then end idle connections earlier than
    // the program's own timers expect.
    it("contain no native code that could set options of sockets", () => {
        expect(findNativeModules()).toEqual([]);
    });
});
