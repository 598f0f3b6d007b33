import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { HeardPaces } from "../../src/pace/heardPaces.js";
import type { PaceEstimate } from "../../src/pace/index.js";

const halfLifeMilliseconds = 20_000;
const keys = fc.constantFrom(1, 2, 3);
const digest = fc.array(fc.tuple(keys, fc.record({ logPace: fc.integer({ min: -9, max: 9 }), weight: fc.nat(20) })));
const steps = fc.array(fc.tuple(fc.constantFrom("n-1", "n-2", "n-3"), digest, fc.nat(90_000)), { maxLength: 12 });

describe("HeardPaces", () => {
    // Guards against estimates of replaced and old digests that stay, and against lists out of order, which would shift medians.
    it("returns the newest digest of each node, ordered by pace, with weights by age", () => {
        fc.assert(fc.property(steps, history => {
            const clock = new ManualClock(1_000_000);
            const heard = new HeardPaces(clock);
            const newest = new Map<
                string,
                { readonly at: number; readonly estimates: ReadonlyMap<number, PaceEstimate>; }
            >();
            for (const [origin, entries, milliseconds] of history) {
                const estimates = new Map(entries);
                heard.set(origin, { measuredAt: clock.wall(), estimates });
                newest.set(origin, { at: clock.monotonic(), estimates });
                clock.advance(milliseconds);
                heard.collect();
            }
            const expected = new Map<number, PaceEstimate[]>();
            for (const { at, estimates } of newest.values()) {
                const halfLives = (clock.monotonic() - at) / halfLifeMilliseconds;
                for (const [key, { logPace, weight }] of halfLives > 8 ? [] : estimates) {
                    const list = expected.get(key) ?? [];
                    list.push({ logPace, weight: weight * 0.5 ** halfLives });
                    expected.set(key, list);
                }
            }
            const collected = heard.collect();
            expect([...collected.keys()].sort()).toEqual([...expected.keys()].sort());
            for (const [key, list] of expected) {
                const byPace = (left: PaceEstimate, right: PaceEstimate): number =>
                    left.logPace - right.logPace || left.weight - right.weight;
                const found = collected.get(key)!;
                expect(found.map(({ logPace }) => logPace)).toEqual(
                    list.map(({ logPace }) => logPace).toSorted((a, b) => a - b),
                );
                expect(found.toSorted(byPace).map(({ weight }) => weight)).toEqual(
                    list.toSorted(byPace).map(({ weight }) => weight),
                );
            }
        }));
    });
});
