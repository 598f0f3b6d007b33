import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { RateLimits, unlimitedRate } from "../../src/ratelimits/index.js";
import { createJournal } from "../fixtures/journals.js";

function createLimits() {
    const clock = new ManualClock(1_000);
    const { journal, lines } = createJournal();
    const limits = new RateLimits({ clock, journal, publish: () => {} });
    const observe = (requestsPerSecond: number, sentAt = clock.monotonic()): void =>
        limits.observe({ upstream: "u1", requestsPerSecond, sentAt });
    return { clock, limits, lines, observe };
}

describe("RateLimits", () => {
    it("knows the limit that an upstream states, until an answer states none", () => {
        const { clock, limits, lines, observe } = createLimits();
        expect(limits.get("u1")).toEqual(unlimitedRate);
        observe(3.1);
        clock.advance(100);
        observe(3.2);
        expect([limits.get("u1"), limits.count()]).toEqual([3.1, 1]);
        clock.advance(100);
        observe(1.5);
        expect(limits.get("u1")).toEqual(1.5);
        clock.advance(100);
        observe(unlimitedRate);
        expect([limits.get("u1"), limits.count()]).toEqual([unlimitedRate, 0]);
        expect(lines.map(({ name }) => name)).toEqual(["upstream-limited", "upstream-limited", "upstream-unlimited"]);
    });

    // Guards against a limit that ends because of an answer from before it was stated.
    it("ignores answers to requests that were sent before the last statement", () => {
        const { clock, limits, observe } = createLimits();
        const sentAt = clock.monotonic();
        clock.advance(100);
        observe(3);
        observe(unlimitedRate, sentAt);
        expect(limits.get("u1")).toEqual(3);
        clock.advance(100);
        observe(unlimitedRate);
        observe(3, sentAt);
        expect(limits.get("u1")).toEqual(unlimitedRate);
    });

    it("forgets an upstream that was removed or restarted", () => {
        const { limits, observe } = createLimits();
        observe(3);
        limits.remove("u1");
        expect([limits.get("u1"), limits.count()]).toEqual([unlimitedRate, 0]);
    });
});
