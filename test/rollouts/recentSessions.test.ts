import { expect } from "earl";
import { describe, it } from "node:test";
import { RecentSessions } from "../../src/rollouts/recentSessions.js";

describe("SessionMemory", () => {
    it("forgets a session when its time is over", () => {
        const memory = new RecentSessions(5_000);
        memory.startRequest("s", "v1", 500);
        memory.endRequest("s", 1_000);
        expect([memory.getSessionsOnOtherVersions("v2", 5_900), memory.getSessionsOnOtherVersions("v2", 6_100)])
            .toEqual([["s"], []]);
    });

    it("returns the sessions whose last request another version served", () => {
        const memory = new RecentSessions(5_000);
        memory.startRequest("s-1", "v1", 0);
        memory.startRequest("s-2", "v1", 0);
        memory.startRequest("s-2", "v2", 1);
        expect(memory.getSessionsOnOtherVersions("v2", 2)).toEqual(["s-1"]);
    });

    // A long answer outlasts the time that its session is kept. Forgotten before its end, the session passes for a new one, and its
    // next request meets another version.
    it("keeps a session whose answer is still on its way, and from its end on for the whole time", () => {
        const memory = new RecentSessions(5_000);
        memory.startRequest("s", "v1", 0);
        expect(memory.getSessionsOnOtherVersions("v2", 20_000)).toEqual(["s"]);
        memory.endRequest("s", 20_000);
        expect([memory.getSessionsOnOtherVersions("v2", 24_900), memory.getSessionsOnOtherVersions("v2", 25_100)])
            .toEqual([["s"], []]);
    });
});
