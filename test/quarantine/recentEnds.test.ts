import { expect } from "earl";
import { describe, it } from "node:test";
import { RecentEnds } from "../../src/quarantine/recentEnds.js";

const margin = 50;

function createKnown(time: number) {
    return { earliest: time, latest: time };
}

/** Creates the ends of upstreams whose times are known, named u0, u1 and so on. */
function createEnds(times: readonly number[]): RecentEnds {
    const ends = new RecentEnds();
    for (const [index, time] of times.entries()) {
        ends.add({ id: `u${index}` }, createKnown(time), time);
    }
    return ends;
}

describe("RecentEnds", () => {
    it("counts the others that ended at the same time, each once", () => {
        const ends = createEnds([1_000, 1_040, 1_060]);
        ends.add({ id: "u1" }, createKnown(1_040), 1_040);
        expect(ends.countOthers({ id: "u0" }, createKnown(1_000), margin)).toEqual(1);
    });

    // Guards against an outage that explains no crash of which a node knows the time only roughly.
    it("counts the largest group at one moment where the time of an end is not known", () => {
        const ends = createEnds([1_000, 1_020, 1_500]);
        const time = { earliest: 900, latest: 2_000 };
        expect(ends.countOthers({ id: "x" }, time, margin)).toEqual(2);
        expect(ends.countOthers({ id: "x" }, { ...time, earliest: 1_200 }, margin)).toEqual(1);
    });

    // Guards against an outage that explains nothing any more as connections to its upstreams go on breaking while they are down.
    it("keeps the first end of an upstream that was not heard since, and counts none whose time is not known", () => {
        const ends = createEnds([1_000]);
        ends.add({ id: "u0" }, createKnown(1_900), 990);
        ends.add({ id: "u0" }, { earliest: 990, latest: 2_000 }, 990);
        expect(ends.countOthers({ id: "x" }, createKnown(1_000), margin)).toEqual(1);
        ends.add({ id: "u0" }, { earliest: 1_400, latest: 2_000 }, 1_400);
        expect(ends.countOthers({ id: "x" }, createKnown(1_000), margin)).toEqual(0);
    });

    it("forgets an upstream that has not ended, and ends of long ago", () => {
        const ends = createEnds([1_000, 1_000]);
        ends.remove({ id: "u0" });
        expect(ends.countOthers({ id: "x" }, createKnown(1_000), margin)).toEqual(1);
        ends.add({ id: "u2" }, createKnown(9_000), 9_000);
        expect(ends.countOthers({ id: "x" }, createKnown(1_000), margin)).toEqual(0);
    });
});
