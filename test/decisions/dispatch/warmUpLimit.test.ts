import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { type ShareHolder, WarmUpLimit } from "../../../src/decisions/index.js";
import { createUpstream } from "../../fixtures/upstreams.js";

const requestsPerSecond = 11;
/** What an upstream tolerates in any second while it warms up: half more than its rate, and five requests. */
const maxArrivals = requestsPerSecond * 1.5 + 5;
const upstream = createUpstream("cold", { failureDomain: "d0" });

function createNodes(count: number): ShareHolder[] {
    return Array.from({ length: count }, (...[, index]) => ({ id: `n-${index}`, failureDomain: `d${index % 4}` }));
}

function createLimit(clock: ManualClock, self: string, options: {
    readonly nodes: () => readonly ShareHolder[];
    readonly isWarmingUp?: () => boolean;
    readonly rate?: number;
    readonly mayHold?: () => boolean;
}): WarmUpLimit {
    return new WarmUpLimit({
        clock,
        self,
        isWarmingUp: options.isWarmingUp ?? (() => true),
        getRequestsPerSecond: () => options.rate ?? requestsPerSecond,
        getNodes: options.nodes,
        mayHold: options.mayHold ?? (() => true),
    });
}

function getMaxInOneSecond(times: readonly number[]): number {
    let max = 0;
    for (const start of times) {
        max = Math.max(max, times.filter(at => at >= start && at < start + 1_000).length);
    }
    return max;
}

describe("WarmUpLimit", () => {
    it("does not limit requests to a warm upstream", () => {
        const limit = createLimit(new ManualClock(0), "n-0", {
            nodes: () => createNodes(59),
            isWarmingUp: () => false,
        });
        expect(limit.isAdmitted(upstream)).toEqual(true);
    });

    it("does not limit a pool whose upstreams tolerate any rate", () => {
        const limit = createLimit(new ManualClock(0), "n-0", { nodes: () => createNodes(59), rate: 0 });
        expect(limit.isAdmitted(upstream)).toEqual(true);
    });

    it("sends nothing where a share would be less than one request a second", () => {
        const limit = createLimit(new ManualClock(0), "n-0", { nodes: () => createNodes(1), rate: 0.5 });
        expect(limit.isAdmitted(upstream)).toEqual(false);
    });

    // Guards against a runner that crashes again right after its start because every node of a fleet sends it work at once.
    it("keeps all nodes together below the rate that a warming runner tolerates", () => {
        for (const count of [1, 8, 59, 350]) {
            const clock = new ManualClock(0);
            const nodes = createNodes(count);
            const limits = nodes.map(({ id }) => createLimit(clock, id, { nodes: () => nodes }));
            const sentAt: number[] = [];
            for (let step = 0; step < 100; step += 1) {
                for (const limit of limits) {
                    if (limit.isAdmitted(upstream)) {
                        limit.add(upstream);
                        sentAt.push(clock.monotonic());
                    }
                }
                clock.advance(30);
            }
            expect(getMaxInOneSecond(sentAt) <= requestsPerSecond).toEqual(true);
            expect(sentAt.length > 3).toEqual(true);
        }
    });

    // Guards against two sets of nodes that hold the same shares while machines are added, lost and replaced in numbers.
    it("keeps to the bound while nodes have different lists of nodes", () => {
        fc.assert(fc.property(fc.integer(), fc.integer({ min: 0, max: 10 }), (seed, added) => {
            const random = new RandomSource(seed);
            const clock = new ManualClock(0);
            const nodes = createNodes(59 + added);
            // Nodes that were added are settled later than the time in which the others learn of them; some have not yet.
            const lists = nodes.map(() => random.next() < 0.9 ? nodes : nodes.slice(0, 59));
            const limits = nodes.map(({ id }, index) =>
                createLimit(clock, id, { nodes: () => lists[index], mayHold: () => index < 59 })
            );
            const sentAt: number[] = [];
            for (let step = 0; step < 60; step += 1) {
                const limit = limits[random.nextInteger(limits.length)];
                for (const one of [limit, ...limits]) {
                    if (one.isAdmitted(upstream)) {
                        one.add(upstream);
                        sentAt.push(clock.monotonic());
                    }
                }
                clock.advance(50);
            }
            return getMaxInOneSecond(sentAt) <= maxArrivals;
        }));
    });

    it("sends nothing from a node that may not know all others", () => {
        const nodes = createNodes(1);
        const limit = createLimit(new ManualClock(0), "n-0", { nodes: () => nodes, mayHold: () => false });
        expect(limit.isAdmitted(upstream)).toEqual(false);
    });
});
