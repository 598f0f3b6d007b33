import { expect } from "earl";
import { describe, it } from "node:test";
import { createSharedQuarantine, partPolicy, type Quarantine, requestPolicy } from "../../src/quarantine/index.js";
import { createGossipSite, type GossipNode, type GossipSite } from "../fixtures/gossipSite.js";
import { createJournal } from "../fixtures/journals.js";
import { addCrashes } from "../fixtures/quarantines.js";

/** Nodes of the largest fleet that is planned for, and the bytes that control may use there a second. */
const fleetSize = 350;
const maxControlBytes = 27_000;
/** Gossip periods after which the nodes of such a fleet exchange with partners that answer, and know each other's values. */
const periodsToSettle = 15;

/** Creates the quarantine of each node; `stored` counts the writes to the store. */
function createQuarantines(site: GossipSite, policy = requestPolicy) {
    const stored: string[] = [];
    const ids = site.nodes.map(({ vm }) => vm.id);
    const create = ({ vm, clock, gossip }: GossipNode): Quarantine =>
        createSharedQuarantine({
            self: vm.id,
            clock,
            journal: createJournal(vm.id).journal,
            policy,
            gossip,
            getMembers: () => ids,
            store: () => {
                stored.push(vm.id);
                return Promise.resolve(true);
            },
        });
    return { quarantines: site.nodes.map(create), stored };
}

function countQuarantined(quarantines: readonly Quarantine[]): number {
    return quarantines.filter(quarantine => quarantine.admit(() => ["crashing"]) !== undefined).length;
}

describe("the exchange of records on requests that crash upstreams", () => {
    it("reaches nearly all of 350 nodes at once and the others with the next exchanges, within its bytes", async () => {
        const site = createGossipSite(fleetSize);
        const { quarantines, stored } = createQuarantines(site);
        await site.run(periodsToSettle);
        for (const node of site.nodes) {
            node.bytes = 0;
            node.pushes = 0;
        }
        addCrashes(quarantines[0], "crashing", 3);
        await site.deliverMessages();
        expect(countQuarantined(quarantines) >= 0.9 * fleetSize).toEqual(true);
        expect(Math.max(...site.nodes.map(({ bytes }) => bytes)) < maxControlBytes).toEqual(true);
        expect(stored.length <= 2).toEqual(true);
        await site.run(periodsToSettle);
        expect(countQuarantined(quarantines)).toEqual(fleetSize);
    });

    // Guards against crashes under one part at several nodes of a large fleet that are a first one at each.
    it("tells nearly all of 350 nodes of the first crash under a part at once, within its bytes", async () => {
        const site = createGossipSite(fleetSize);
        const { quarantines } = createQuarantines(site, partPolicy);
        // Some nodes may try the part by the end, and admit a request with it.
        const count = (): number => quarantines.filter(one => one.isQuarantined(() => ["crashing"])).length;
        await site.run(periodsToSettle);
        for (const node of site.nodes) {
            node.bytes = 0;
        }
        addCrashes(quarantines[0], "crashing", 1);
        await site.deliverMessages();
        const informed = quarantines.filter(quarantine => quarantine.getPoints(() => "crashing") > 0);
        expect(informed.length >= 0.9 * fleetSize).toEqual(true);
        addCrashes(informed[informed.length - 1], "crashing", 1);
        await site.deliverMessages();
        expect(count() >= 0.9 * fleetSize).toEqual(true);
        expect(Math.max(...site.nodes.map(({ bytes }) => bytes)) < maxControlBytes).toEqual(true);
        await site.run(periodsToSettle);
        expect(count()).toEqual(fleetSize);
    });

    // Guards against a node that was cut off when a request was quarantined and sends it once it is back.
    it("reaches a node that was cut off once the cut has ended", async () => {
        const site = createGossipSite(4);
        const { quarantines } = createQuarantines(site);
        await site.run(4);
        const cut = site.nodes[3];
        for (const { vm } of site.nodes.slice(0, 3)) {
            site.cutLinks.add(`${vm.id}>${cut.vm.id}`).add(`${cut.vm.id}>${vm.id}`);
        }
        addCrashes(quarantines[0], "crashing", 3);
        await site.run(2);
        expect(countQuarantined(quarantines)).toEqual(3);
        site.cutLinks.clear();
        await site.run(20);
        expect(countQuarantined(quarantines)).toEqual(4);
    });
});
