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

describe("VersionPartitions", () => {
    it("partitions by the version that a roll-out moves to, and excludes reverted versions", () => {
        const key = { reverted: new Set(["v3"]), candidate: "v2" };
        const { eligible, candidateUpstreams, currentUpstreams } = new VersionPartitions().get(upstreams, key);
        expect(getIds(eligible)).toEqual(["old", "new"]);
        expect(getIds(candidateUpstreams)).toEqual(["new"]);
        expect(getIds(currentUpstreams)).toEqual(["old"]);
    });

    // A pool of a hundred runners is moved to a new version. With a new list for each request, all values that are
    // cached for a list would be computed again for each request, and callers would wait for that.
    it("returns the same lists until something changes", () => {
        const partitions = new VersionPartitions();
        const key = { reverted: undefined, candidate: "v2" };
        const first = partitions.get(upstreams, key);
        expect(partitions.get(upstreams, { ...key }).currentUpstreams === first.currentUpstreams).toEqual(true);
        expect(getIds(partitions.get(upstreams, { ...key, candidate: "v3" }).candidateUpstreams)).toEqual(["bad"]);
        expect(getIds(partitions.get([...upstreams], key).eligible)).toEqual(["old", "new", "bad"]);
    });
});
