import { expect } from "earl";
import { describe, it } from "node:test";
import { RecentSessions } from "../../src/rollouts/recentSessions.js";

describe("RecentSessions", () => {
    it("removes a session after its retention time", () => {
        const recentSessions = new RecentSessions(5_000);
        recentSessions.startRequest("s", "v1", 500);
        recentSessions.endRequest("s", 1_000);
        expect([
            recentSessions.getSessionsOnOtherVersions("v2", 5_900),
            recentSessions.getSessionsOnOtherVersions("v2", 6_100),
        ])
            .toEqual([["s"], []]);
    });

    it("returns the sessions whose last request another version served", () => {
        const recentSessions = new RecentSessions(5_000);
        recentSessions.startRequest("s-1", "v1", 0);
        recentSessions.startRequest("s-2", "v1", 0);
        recentSessions.startRequest("s-2", "v2", 1);
        expect(recentSessions.getSessionsOnOtherVersions("v2", 2)).toEqual(["s-1"]);
    });

    // Guards against answers by two versions within a session: a long answer outlasts the retention time. If the
    // session were removed before the answer ends, it would count as new, and another version would serve its next
    // request.
    it("retains a session while its answer is in flight, and for the whole retention time after its end", () => {
        const recentSessions = new RecentSessions(5_000);
        recentSessions.startRequest("s", "v1", 0);
        expect(recentSessions.getSessionsOnOtherVersions("v2", 20_000)).toEqual(["s"]);
        recentSessions.endRequest("s", 20_000);
        expect([
            recentSessions.getSessionsOnOtherVersions("v2", 24_900),
            recentSessions.getSessionsOnOtherVersions("v2", 25_100),
        ])
            .toEqual([["s"], []]);
    });
});
