import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { parseLoadProfile } from "../../src/load/index.js";
import { formatValidationError } from "../../src/settings/index.js";

const workspace = "[workspace.a]\nkey = k\n";

function getErrors(content: string): readonly string[] {
    return parseLoadProfile(content, "p.ini")._unsafeUnwrapErr().map(formatValidationError);
}

describe("parseLoadProfile", () => {
    it("fills in defaults and the workspace's key", () => {
        const profile = parseLoadProfile(`${workspace}[work.tag]\nkind = chat\nworkspace = a\n`, "p.ini")
            ._unsafeUnwrap();
        expect(profile.load).toEqual({
            rate: 10,
            seconds: 30,
            seed: 1,
            firstTokenMilliseconds: 900,
            boundMilliseconds: 30_000,
            tries: 3,
        });
        expect(profile.works.length).toEqual(1);
        expect(profile.works[0]).toEqual(expect.subset({ name: "tag", key: "k", share: 1, streamed: true }));
    });

    it("reads the example profile", () => {
        const example = readFileSync("examples/load-metro-manila.ini", "utf8");
        expect(parseLoadProfile(example, "example").isOk()).toEqual(true);
    });

    it("reports a missing workspace", () => {
        expect(getErrors("[work.tag]\nkind = chat\nworkspace = b\n")).toEqual([
            "p.ini:3: [work.tag] workspace: There is no [workspace.b]. Add the section with the workspace's key.",
        ]);
    });

    it("reports a service without a pool", () => {
        expect(getErrors(`${workspace}[work.print]\nkind = service\nworkspace = a\n`)).toEqual([
            "p.ini:3: [work.print] pool: A service needs its pool. Write, for instance, pool = label-app.",
        ]);
    });

    it("reports that no work has a share above 0", () => {
        expect(getErrors(`${workspace}[work.tag]\nkind = chat\nworkspace = a\nshare = 0\n`)).toEqual([
            "p.ini:0: No work has a share above 0. Add a [work.NAME] section with kind, workspace and share.",
        ]);
    });
});
