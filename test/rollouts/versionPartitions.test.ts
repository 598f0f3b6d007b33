import { expect } from "earl";
import { describe, it } from "node:test";
import { VersionPartitions } from "../../src/rollouts/versionPartitions.js";
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
        const { eligible, candidateUpstreams, currentUpstreams } = new VersionPartitions().get(upstreams, key);
        expect(getIds(eligible)).toEqual(["old", "new"]);
        expect(getIds(candidateUpstreams)).toEqual(["new"]);
        expect(getIds(currentUpstreams)).toEqual(["old"]);
    });

    // A pool of a hundred runners is moved to a new version. Were its list another one for each request, everything that is worked
    // out for a list would be worked out anew for each of them, and callers wait for that.
    it("returns the same lists until something changes", () => {
        const divisions = new VersionPartitions();
        const key = { reverted: undefined, candidate: "v2" };
        const first = divisions.get(upstreams, key);
        expect(divisions.get(upstreams, { ...key }).currentUpstreams === first.currentUpstreams).toEqual(true);
        expect(getIds(divisions.get(upstreams, { ...key, candidate: "v3" }).candidateUpstreams)).toEqual(["bad"]);
        expect(getIds(divisions.get([...upstreams], key).eligible)).toEqual(["old", "new", "bad"]);
    });
});
