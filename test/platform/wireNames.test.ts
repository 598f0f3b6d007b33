import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { headerNames, servedPaths, storePaths, topics } from "../../src/platform/wire.js";

/** Names that other code may also use. Only names that are specific to the platform are searched for. */
const genericNames: ReadonlySet<string> = new Set(["retry-after", "last-event-id", "/metrics"]);
/** Folders that depend on the platform through types only. */
const folders = [
    "routing",
    "topics",
    "fleet",
    "forwarding",
    "rollouts",
    "decisions",
    "ratelimits",
    "pace",
    "quarantine",
    "membership",
    "events",
    "common",
];

function findFiles(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(".ts"))
        .map(entry => join(entry.parentPath, entry.name));
}

describe("the platform's wire names", () => {
    // A wire name in other code ties that code to one platform. The next change of the wire would then affect routing and limits.
    it("occur in platform/ only", () => {
        const names = [headerNames, storePaths, servedPaths, topics]
            .flatMap(table => Object.values(table))
            .filter(name => /[-/.]/.test(name) && !genericNames.has(name));
        const found: string[] = [];
        for (const file of [...folders, "reachability"].flatMap(folder => findFiles(join("src", folder)))) {
            const text = readFileSync(file, "utf8").toLowerCase();
            for (const name of names.filter(candidate => text.includes(`"${candidate}"`))) {
                found.push(`${file}: ${name}`);
            }
        }
        expect(found).toEqual([]);
    });

    it("are used by one store client, one upstream client and one topic reader", () => {
        const users = findFiles("src/platform").filter(file =>
            /(new (Pool|Agent)|createAnswer(Pool|Agent)|createWatchedAgent)\(/.test(readFileSync(file, "utf8"))
        );
        expect(users.sort()).toEqual(["src/platform/storeClient.ts", "src/platform/upstreamConnections.ts"]);
        const readers = folders.flatMap(folder => findFiles(join("src", folder)))
            .filter(file => /from "undici"/.test(readFileSync(file, "utf8")));
        expect(readers).toEqual([]);
    });
});
