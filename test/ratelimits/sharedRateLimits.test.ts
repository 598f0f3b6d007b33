import { expect } from "earl";
import { describe, it } from "node:test";
import { createSharedRateLimits, type RateLimits, unlimitedRate } from "../../src/ratelimits/index.js";
import { createGossipSite, type GossipSite } from "../fixtures/gossipSite.js";
import { createJournal } from "../fixtures/journals.js";

/** Nodes of the largest fleet that is planned for, and the bytes that control may use there a second. */
const fleetSize = 350;
const maxControlBytes = 27_000;
/** Gossip periods after which the nodes of such a fleet know each other's values. */
const periodsToSettle = 15;
/** Upstreams of such a fleet, and the periods in which all nodes learn of as many limits. The values of a message are bounded. */
const upstreamCount = 2_100;
const periodsForAllUpstreams = 28;

interface SharedFleet {
    readonly site: GossipSite;
    readonly limits: readonly RateLimits[];
    /** Lets a node receive an answer now. */
    readonly observe: (node: number, requestsPerSecond: number, upstream?: string) => void;
}

function createFleet(size: number): SharedFleet {
    const site = createGossipSite(size);
    const limits = site.nodes.map(({ vm, clock, gossip }) =>
        createSharedRateLimits({ clock, journal: createJournal(vm.id).journal, gossip })
    );
    const observe = (node: number, requestsPerSecond: number, upstream = "u1"): void =>
        limits[node].observe({ upstream, requestsPerSecond, sentAt: site.nodes[node].clock.monotonic() });
    return { site, limits, observe };
}

function countKnowing(limits: readonly RateLimits[], rate: number): number {
    return limits.filter(one => one.get("u1") === rate).length;
}

describe("the exchange of rate limits", () => {
    it("tells all of 350 nodes of a limit and of its end, within the bytes of control", async () => {
        const { site, limits, observe } = createFleet(fleetSize);
        await site.run(periodsToSettle);
        for (const node of site.nodes) {
            node.bytes = 0;
        }
        await site.run(periodsToSettle);
        const idleBytes = Math.max(...site.nodes.map(({ bytes }) => bytes));
        for (const node of site.nodes) {
            node.bytes = 0;
        }
        observe(7, 3.1);
        await site.run(periodsToSettle);
        expect(countKnowing(limits, 3.1)).toEqual(fleetSize);
        const limitedBytes = Math.max(...site.nodes.map(({ bytes }) => bytes));
        expect(limitedBytes - idleBytes).toBeLessThan(maxControlBytes);
        observe(200, unlimitedRate);
        await site.run(periodsToSettle);
        expect(countKnowing(limits, unlimitedRate)).toEqual(fleetSize);
    });

    // Guards against traffic that exceeds what control may use when every upstream of a fleet states a limit at one moment.
    it("stays within the bytes of control when all of 2,100 upstreams state a limit", async () => {
        const { site, limits, observe } = createFleet(fleetSize);
        await site.run(periodsToSettle);
        for (const node of site.nodes) {
            node.bytes = 0;
        }
        for (let upstream = 0; upstream < upstreamCount; upstream += 1) {
            observe(upstream % fleetSize, 3, `u${upstream}`);
        }
        const seconds = periodsForAllUpstreams * site.nodes[0].gossip.getPeriodMilliseconds() / 1_000;
        await site.run(periodsForAllUpstreams);
        expect(Math.max(...site.nodes.map(({ bytes }) => bytes))).toBeLessThan(maxControlBytes * seconds);
        expect(limits.every(one => one.count() === upstreamCount)).toEqual(true);
    });

    // Guards against nodes that keep a limit for ever since they hold a change with a higher number than the one that ends it.
    it("ends a limit that a node learned again after it had forgotten the upstream", async () => {
        const { site, limits, observe } = createFleet(4);
        await site.run(4);
        for (const rate of [3, unlimitedRate, 5]) {
            observe(0, rate);
            await site.run(4);
        }
        expect(countKnowing(limits, 5)).toEqual(4);
        limits[2].remove("u1");
        observe(2, 5);
        await site.run(4);
        observe(2, unlimitedRate);
        await site.run(8);
        expect(countKnowing(limits, unlimitedRate)).toEqual(4);
    });

    // Guards against nodes that start later, learn of the limit of an upstream that is gone, and count it for ever.
    it("tells a node that starts later nothing of an upstream that was removed", async () => {
        const { site, limits, observe } = createFleet(4);
        await site.run(4);
        observe(0, 3);
        await site.run(4);
        for (const one of limits) {
            one.remove("u1");
        }
        await site.run(4);
        const late = site.add("entry-late");
        site.distributeVmList();
        const journal = createJournal(late.vm.id).journal;
        const learned = createSharedRateLimits({ clock: late.clock, journal, gossip: late.gossip });
        await site.run(8);
        expect(learned.count()).toEqual(0);
    });

    it("agrees on the lower of two rates that nodes were told at once", async () => {
        const { site, limits, observe } = createFleet(4);
        await site.run(4);
        observe(0, 5);
        observe(1, 2);
        await site.run(8);
        expect(countKnowing(limits, 2)).toEqual(4);
    });

    it("reaches a node that was cut off once the cut has ended", async () => {
        const { site, limits, observe } = createFleet(4);
        await site.run(4);
        const cut = site.nodes[3];
        for (const { vm } of site.nodes.slice(0, 3)) {
            site.cutLinks.add(`${vm.id}>${cut.vm.id}`).add(`${cut.vm.id}>${vm.id}`);
        }
        observe(0, 3);
        await site.run(4);
        expect(countKnowing(limits, 3)).toEqual(3);
        site.cutLinks.clear();
        await site.run(20);
        expect(countKnowing(limits, 3)).toEqual(4);
    });
});
