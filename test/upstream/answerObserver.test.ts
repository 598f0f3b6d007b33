import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import type { Announcement } from "../../src/fleet/index.js";
import type { RateStatement } from "../../src/ratelimits/index.js";
import { AnswerObserver } from "../../src/upstream/index.js";
import { createVm } from "../decisions/placement/fixtures.js";

function observe(statusCode: number, headers: Readonly<Record<string, string | string[]>>) {
    const rates: RateStatement[] = [];
    const announcements: Announcement[] = [];
    const observer = new AnswerObserver({
        clock: new ManualClock(1_000),
        onRate: rate => rates.push(rate),
        onAnnouncement: (...[, announcement]) => announcements.push(announcement),
    });
    observer.observe(createVm("runner-1"), { statusCode, headers }, 0);
    return { rates: rates.map(({ requestsPerSecond }) => requestsPerSecond), announcements };
}

describe("AnswerObserver", () => {
    it("passes on the rest that a rejection asks for", () => {
        const { announcements } = observe(429, { "retry-after": "1.5" });
        expect(announcements).toEqual([{ isLeaving: false, restMilliseconds: 1_500 }]);
        expect(observe(200, { "retry-after": "1.5" }).announcements).toEqual([]);
        expect(observe(503, { "retry-after": ["1", "2"] }).announcements).toEqual([]);
    });

    it("passes on a stated rate, and nothing where it is stated twice", () => {
        expect(observe(200, { "x-rate-limit": "2" }).rates).toEqual([2]);
        expect(observe(200, {}).rates).toEqual([Number.POSITIVE_INFINITY]);
        expect(observe(200, { "x-rate-limit": ["2", "3"] }).rates).toEqual([]);
    });
});
