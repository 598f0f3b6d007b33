import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { type ShareHolder, StatedRateLimit, type StatedRates } from "../../../src/decisions/index.js";
import { createUpstream } from "../../fixtures/upstreams.js";

const upstream = createUpstream("needy", { failureDomain: "d0" });
const stepMilliseconds = 20;
const windowMilliseconds = 4_000;
const runMilliseconds = 16_000;

/** Half more than the rate, and five requests. */
function getMaxArrivals(rate: number): number {
    return 1.5 * rate * windowMilliseconds / 1_000 + 5;
}

function createNodes(count: number, domains = 4): ShareHolder[] {
    return Array.from(
        { length: count },
        (...[, index]) => ({ id: `n-${index}`, failureDomain: `d${index % domains}` }),
    );
}

function createRates(get: () => number): StatedRates {
    return { get, getLimited: () => new Set([upstream.id]), remove: () => {} };
}

interface FleetOptions {
    readonly nodes: readonly ShareHolder[];
    /** Returns the nodes that a node knows; by default all. */
    readonly getNodes?: (index: number) => readonly ShareHolder[];
    readonly getRate: (now: number) => number;
    /** Returns whether a node is down. */
    readonly isDown?: (index: number, now: number) => boolean;
    readonly seed?: number;
}

/** Lets each node send whenever it may, as under a load far above the rate, and returns the times of the requests. */
function run({ nodes, getNodes, getRate, isDown, seed }: FleetOptions): readonly number[] {
    const clock = new ManualClock(0);
    const random = new RandomSource(seed ?? 1);
    const limits = nodes.map(({ id }, index) =>
        new StatedRateLimit({
            clock,
            random: new RandomSource(random.nextInteger(1_000_000)),
            self: id,
            rates: createRates(() => getRate(clock.monotonic())),
            getNodes: () => getNodes?.(index) ?? nodes,
            mayHold: () => true,
        })
    );
    const sentAt: number[] = [];
    while (clock.monotonic() < runMilliseconds) {
        for (const [index, limit] of limits.entries()) {
            if (isDown?.(index, clock.monotonic()) !== true && limit.isAdmitted(upstream)) {
                limit.add(upstream);
                sentAt.push(clock.monotonic());
            }
        }
        clock.advance(stepMilliseconds);
    }
    return sentAt;
}

function getMaxInWindow(times: readonly number[]): number {
    let max = 0;
    for (const start of times) {
        max = Math.max(max, times.filter(at => at >= start && at < start + windowMilliseconds).length);
    }
    return max;
}

describe("StatedRateLimit", () => {
    it("does not limit requests to an upstream that states no limit", () => {
        const clock = new ManualClock(0);
        const limit = new StatedRateLimit({
            clock,
            random: new RandomSource(1),
            self: "n-0",
            rates: createRates(() => Number.POSITIVE_INFINITY),
            getNodes: () => createNodes(8),
            mayHold: () => false,
        });
        expect(limit.isAdmitted(upstream)).toEqual(true);
        limit.add(upstream);
        expect(limit.isAdmitted(upstream)).toEqual(true);
    });

    // Guards against a fleet in which each node keeps to the limit by itself, and all together exceed it by their number.
    it("keeps all nodes together to the rate at any number of nodes, and uses it", () => {
        for (const count of [1, 2, 8, 59, 350]) {
            for (const rate of [0.3, 1.4, 3.1, 20]) {
                const sentAt = run({ nodes: createNodes(count), getRate: () => rate });
                expect(getMaxInWindow(sentAt)).toBeLessThanOrEqual(getMaxArrivals(rate));
                expect(sentAt.length).toBeGreaterThan(0.7 * rate * runMilliseconds / 1_000 - 1);
            }
        }
    });

    it("uses the rate of an upstream in a failure domain without nodes", () => {
        const nodes = createNodes(9).filter(({ failureDomain }) => failureDomain !== "d0");
        const sentAt = run({ nodes, getRate: () => 3 });
        expect(sentAt.length).toBeGreaterThan(0.7 * 3 * runMilliseconds / 1_000);
        expect(getMaxInWindow(sentAt)).toBeLessThanOrEqual(getMaxArrivals(3));
    });

    // Guards against two sets of nodes that hold the same shares while nodes are added, lost and cut off from some others.
    it("keeps to the bound while nodes know different sets of nodes", () => {
        fc.assert(
            fc.property(fc.integer(), fc.integer({ min: 5, max: 60 }), fc.double({ min: 0.3, max: 20, noNaN: true }), (
                seed,
                count,
                rate,
            ) => {
                const random = new RandomSource(seed);
                const nodes = createNodes(count);
                const lists = nodes.map(node =>
                    random.next() < 0.8 ? nodes : nodes.filter(other => other === node || random.next() < 0.9)
                );
                const sentAt = run({ nodes, getNodes: index => lists[index], getRate: () => rate, seed });
                return getMaxInWindow(sentAt) <= getMaxArrivals(rate);
            }),
            { numRuns: 40 },
        );
    });

    it("keeps to the bound of the higher rate while the rate changes", () => {
        const sentAt = run({ nodes: createNodes(59), getRate: now => (now % 3_000 < 1_500 ? 10 : 2) });
        expect(getMaxInWindow(sentAt)).toBeLessThanOrEqual(getMaxArrivals(10));
    });

    // Guards against an upstream that gets nothing because the nodes that hold its rate are down.
    it("goes on through other nodes once the holders are known to be down", () => {
        const nodes = createNodes(8, 1);
        const lost = new Set([0, 1, 2, 3, 4, 5]);
        const sentAt = run({
            nodes,
            getNodes: () => nodes.filter((...[, index]) => !lost.has(index)),
            isDown: index => lost.has(index),
            getRate: () => 2,
        });
        expect(sentAt.length).toBeGreaterThan(0.7 * 2 * runMilliseconds / 1_000);
    });

    it("asks an upstream that takes nothing from time to time whether it still does", () => {
        const sentAt = run({ nodes: createNodes(350), getRate: () => 0 });
        expect(sentAt.length).toBeGreaterThan(0);
        expect(getMaxInWindow(sentAt)).toBeLessThanOrEqual(getMaxArrivals(0));
    });

    it("sends nothing from a node that may not know the others", () => {
        const limit = new StatedRateLimit({
            clock: new ManualClock(100_000),
            random: new RandomSource(1),
            self: "n-0",
            rates: createRates(() => 100),
            getNodes: () => createNodes(1),
            mayHold: () => false,
        });
        expect(limit.isAdmitted(upstream)).toEqual(false);
    });
});
