import { expect } from "earl";
import { describe, it } from "node:test";
import { Announcements, shareLeavings, UpstreamRegistry } from "../../src/fleet/index.js";
import { createGossipSite } from "../fixtures/gossipSite.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream } from "../fixtures/upstreams.js";

const fleetSize = 350;
const upstreamCount = 2_100;
/** Gossip periods after which the nodes of such a fleet know each other's values. */
const periodsToSettle = 15;
const periodsForAllUpstreams = 28;
/** Bytes that control may use at a node in a second. */
const maxControlBytes = 27_000;

function createFleet(size: number) {
    const site = createGossipSite(size);
    const nodes = site.nodes.map(({ vm, clock, gossip }) => {
        const { journal, lines } = createJournal(vm.id);
        const announcements = new Announcements({ clock, journal });
        const registry = new UpstreamRegistry(clock, announcements);
        shareLeavings({ announcements, registry, gossip, journal });
        return { announcements, registry, gossip, lines };
    });
    const countKnowing = (id: string): number =>
        nodes.filter(({ announcements }) => announcements.isLeaving(createUpstream(id))).length;
    return { site, nodes, countKnowing };
}

describe("the exchange of leaving upstreams", () => {
    // Guards against nodes that use an upstream until it is gone, since it has told others only and the store is unavailable.
    it("tells all of 350 nodes, and nodes that start later", async () => {
        const { site, nodes, countKnowing } = createFleet(fleetSize);
        await site.run(periodsToSettle);
        nodes[7].registry.set(createUpstream("u1"));
        nodes[7].announcements.markLeaving(createUpstream("u1"), "answer");
        await site.run(periodsToSettle);
        expect(countKnowing("u1")).toEqual(fleetSize);
    });

    // Guards against traffic that exceeds what control may use when all upstreams of a fleet leave at one moment.
    it("stays within the bytes of control when all of 2,100 upstreams leave", async () => {
        const { site, nodes, countKnowing } = createFleet(fleetSize);
        await site.run(periodsToSettle);
        for (const node of site.nodes) {
            node.bytes = 0;
        }
        for (let index = 0; index < upstreamCount; index += 1) {
            nodes[index % fleetSize].announcements.markLeaving(createUpstream(`u${index}`), "answer");
        }
        const seconds = periodsForAllUpstreams * site.nodes[0].gossip.getPeriodMilliseconds() / 1_000;
        await site.run(periodsForAllUpstreams);
        expect(Math.max(...site.nodes.map(({ bytes }) => bytes))).toBeLessThan(maxControlBytes * seconds);
        expect(countKnowing(`u${upstreamCount - 1}`)).toEqual(fleetSize);
    });

    it("publishes nothing of upstreams that are gone, and logs what it cannot read", async () => {
        const { site, nodes } = createFleet(2);
        const upstream = createUpstream("u1");
        nodes[0].registry.set(upstream);
        nodes[0].announcements.markLeaving(upstream, "answer");
        nodes[0].registry.remove("u1", 0);
        await site.run(periodsToSettle);
        expect(nodes[1].announcements.isLeaving(upstream)).toEqual(false);
        nodes[0].gossip.set("leavings", Buffer.from("{"));
        await site.run(periodsToSettle);
        expect(nodes[1].lines.map(({ name }) => name)).toEqual(["record-unreadable"]);
    });
});
