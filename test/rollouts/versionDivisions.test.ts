import { expect } from "earl";
import { describe, it } from "node:test";
import { VersionDivisions } from "../../src/rollouts/versionDivisions.js";
import { createUpstream } from "../fixtures/upstreams.js";

const upstreams = [
    createUpstream("old", { version: "v1" }),
    createUpstream("new", { version: "v2" }),
    createUpstream("bad", { version: "v3" }),
];

function getIds(list: readonly { readonly id: string; }[]): readonly string[] {
    return list.map(({ id }) => id);
}

describe("VersionDivisions", () => {
    it("divides by the version that a roll-out moves to, and leaves reverted versions out", () => {
        const key = { reverted: new Set(["v3"]), candidate: "v2" };
        const { sound, candidates, currents } = new VersionDivisions().get(upstreams, key);
        expect(getIds(sound)).toEqual(["old", "new"]);
        expect(getIds(candidates)).toEqual(["new"]);
        expect(getIds(currents)).toEqual(["old"]);
    });

    // A pool of a hundred runners is moved to a new version. Were its list another one for each request, everything that is worked
    // out for a list would be worked out anew for each of them, and callers wait for that.
    it("returns the same lists until something changes", () => {
        const divisions = new VersionDivisions();
        const key = { reverted: undefined, candidate: "v2" };
        const first = divisions.get(upstreams, key);
        expect(divisions.get(upstreams, { ...key }).currents === first.currents).toEqual(true);
        expect(getIds(divisions.get(upstreams, { ...key, candidate: "v3" }).candidates)).toEqual(["bad"]);
        expect(getIds(divisions.get([...upstreams], key).sound)).toEqual(["old", "new", "bad"]);
    });
});
