import { expect } from "earl";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { RandomSource } from "../../src/common/index.js";
import { RelayPeers, SharedReachability } from "../../src/reachability/index.js";
import { createGossipSite, type GossipNode } from "../fixtures/gossipSite.js";

const pools = Array.from({ length: 11 }, (...[, index]) => `pool-${index}`);
const maxControlBytes = 27_000;
/** Gossip periods after which nodes know each other. */
const periodsToSettle = 15;
const requestsPerNode = 10;

/** A node and what it knows of the paths of all nodes. */
class FleetNode {
    readonly node: GossipNode;
    readonly shared: SharedReachability;
    readonly peers: RelayPeers;
    #unreachable: readonly string[] = [];
    #listener: () => void = () => {};

    constructor(node: GossipNode, random: RandomSource) {
        this.node = node;
        this.shared = new SharedReachability({
            self: node.vm.id,
            gossip: node.gossip,
            reachability: {
                getUnreachable: () => this.#unreachable,
                isCutOff: () => this.#unreachable.length === pools.length,
                onChange: listener => {
                    this.#listener = () => listener("");
                },
            },
        });
        this.peers = new RelayPeers({
            clock: node.clock,
            random,
            self: node.vm.id,
            getMembers: () => node.membership.getAddressable(),
            reaches: (id, pool) => this.shared.reaches(id, pool),
        });
    }

    setUnreachable(unreachable: readonly string[]): void {
        this.#unreachable = unreachable;
        this.#listener();
    }

    getAddressCount(): number {
        return this.shared.preferReaching(this.node.membership.getAddressable()).length;
    }
}

async function createFleet(size: number) {
    const site = createGossipSite(size);
    const random = new RandomSource(3);
    const nodes = site.nodes.map(node => new FleetNode(node, random));
    await site.run(periodsToSettle);
    const cut = async (count: number, unreachable: readonly string[]): Promise<void> => {
        for (const node of nodes.slice(0, count)) {
            node.setUnreachable(unreachable);
        }
        mock.timers.tick(100);
        await site.deliverMessages();
    };
    return { site, nodes, cut };
}

describe("the exchange of unreachable pools", () => {
    beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
    afterEach(() => mock.timers.reset());

    for (const size of [8, 59, 350]) {
        // Guards against callers that are sent to cut nodes for as long as gossip takes, and against news that cost more than control may.
        it(`tells ${size} nodes at once when a sixth of them loses all pools, within the bytes of control`, async () => {
            const { site, nodes, cut } = await createFleet(size);
            const cutCount = Math.ceil(size / 6);
            for (const node of site.nodes) {
                node.bytes = 0;
            }
            await cut(cutCount, pools);
            const knowing = nodes.filter(node => node.getAddressCount() === size - cutCount).length;
            expect(knowing / size).toBeGreaterThan(0.95);
            await site.run(periodsToSettle);
            expect(nodes.every(node => node.getAddressCount() === size - cutCount)).toEqual(true);
            const seconds = periodsToSettle * site.nodes[0].gossip.getPeriodMilliseconds() / 1_000;
            expect(Math.max(...site.nodes.map(({ bytes }) => bytes))).toBeLessThan(maxControlBytes * seconds);
            await cut(cutCount, []);
            await site.run(periodsToSettle);
            expect(nodes.every(node => node.getAddressCount() === size)).toEqual(true);
        });
    }

    for (const size of [8, 59]) {
        // Guards against cut nodes that all send their requests to the same node, or to others that are cut off.
        it(`spreads the requests of cut nodes over the others of ${size}`, async () => {
            const { site, nodes, cut } = await createFleet(size);
            const cutCount = Math.floor(size / 2);
            await cut(cutCount, pools);
            await site.run(periodsToSettle);
            const counts = new Map<string, number>();
            for (const node of nodes.slice(0, cutCount)) {
                for (let request = 0; request < requestsPerNode; request += 1) {
                    const peer = node.peers.choose(pools[0])!;
                    node.peers.start(peer.id);
                    counts.set(peer.id, (counts.get(peer.id) ?? 0) + 1);
                }
            }
            const cutIds = new Set(site.nodes.slice(0, cutCount).map(({ vm }) => vm.id));
            expect([...counts.keys()].filter(id => cutIds.has(id))).toEqual([]);
            expect(Math.max(...counts.values())).toBeLessThanOrEqual(3 * requestsPerNode);
            expect(nodes[0].getAddressCount()).toEqual(size % 2 === 0 ? size : size - cutCount);
        });
    }

    // Guards against nodes that all leave the lists for callers.
    it("leaves all addresses listed when every node is cut off, and names nobody to forward", async () => {
        const { site, nodes, cut } = await createFleet(8);
        await cut(8, pools);
        await site.run(periodsToSettle);
        expect(nodes.map(node => node.getAddressCount())).toEqual(nodes.map(() => 8));
        expect(nodes.every(({ peers }) => !peers.canReach(pools[0]) && peers.choose(pools[0]) === undefined)).toEqual(
            true,
        );
    });

    // Guards against requests that are sent again and again to a node that cannot forward them.
    it("asks another node for a second after one could not forward", async () => {
        const { nodes } = await createFleet(3);
        const [first] = nodes;
        const failed = first.peers.choose("pool")!;
        first.peers.pause(failed.id, "pool");
        for (let request = 0; request < requestsPerNode; request += 1) {
            expect(first.peers.choose("pool")!.id).not.toEqual(failed.id);
        }
        first.node.clock.advance(1_100);
        const chosen = Array.from({ length: 4 * requestsPerNode }, () => first.peers.choose("pool")!.id);
        expect(chosen.includes(failed.id)).toEqual(true);
    });
});
