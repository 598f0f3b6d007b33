import { expect } from "earl";
import { describe, it } from "node:test";
import { getUnitRank } from "../../src/decisions/index.js";
import type { Member } from "../../src/membership/index.js";
import { chooseReadSource, type ReadSource } from "../../src/topics/index.js";

function createMembers(count: number, getDomain: (index: number) => string = () => "north"): Member[] {
    return Array.from({ length: count }, (...[, index]) => ({
        id: `node-${index}`,
        address: "10.0.0.1",
        peerPort: 1,
        failureDomain: getDomain(index),
        region: "south",
        state: "alive" as const,
        protocol: { oldest: 1, newest: 1 },
        configurationOffset: 0,
        heartbeatAge: 0,
        hasBeenSeen: true,
    }));
}

const getRank = (node: string): number => getUnitRank("reader", node);

function chooseAll(alive: readonly Member[], isAvoided: (node: string) => boolean = () => false): ReadSource[] {
    return alive.map(({ id, failureDomain }) =>
        chooseReadSource({
            self: id,
            failureDomain,
            alive,
            isStale: false,
            isStoreAvoided: false,
            fallbackReads: 0,
            isAvoided,
            getRank,
        })
    );
}

/** Returns the number of relays between a node and the store. */
function countHops(alive: readonly Member[], sources: readonly ReadSource[], index: number): number {
    const source = sources[index];
    return source.kind === "store" ? 0 : 1 + countHops(alive, sources, alive.indexOf(source.peer));
}

describe("chooseReadSource", () => {
    it("makes one node of a small site read the store", () => {
        const sources = chooseAll(createMembers(8, index => `domain-${index % 4}`));
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
    });

    // Guards against calls to the store that grow with the site: with a reader in each failure domain, 90 nodes in five
    // domains made five times the calls of a small site.
    it("makes one node of a large site read the store, and one of each large failure domain read from it", () => {
        const alive = createMembers(90, index => `domain-${index % 5}`);
        const sources = chooseAll(alive);
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
        const readersBySource = new Map<Member, number>();
        for (const [index, source] of sources.entries()) {
            expect(countHops(alive, sources, index) <= 2).toEqual(true);
            if (source.kind === "peer") {
                readersBySource.set(source.peer, (readersBySource.get(source.peer) ?? 0) + 1);
            }
        }
        expect(readersBySource.size).toEqual(5);
        expect(Math.max(...readersBySource.values()) <= 17 + 4).toEqual(true);
    });

    // Guards against a burst of reads at the store after the reader of a large site is killed. If all nodes read the
    // store until gossip reports the death, they would call it a thousand times in those seconds. Callers notice
    // nothing, but the store rejects calls above its rate limit.
    it("chooses the same next node everywhere when the first one does not answer", () => {
        const alive = createMembers(8);
        const [first] = [...alive].sort((left, right) => getRank(right.id) - getRank(left.id));
        const sources = chooseAll(alive.filter(member => member !== first), node => node === first.id);
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
        expect(sources.some(source => source.kind === "peer" && source.peer === first)).toEqual(false);
    });

    // Guards against refused keyed requests when the store rejects some machines and serves others. If it rejects its
    // reader, nodes that kept waiting for that reader would soon refuse all keys.
    it("alternates between the store and other peers while the state is old", () => {
        const alive = createMembers(4);
        const sources = Array.from(
            { length: 5 },
            (...[, fallbackReads]) =>
                chooseReadSource({
                    self: "node-0",
                    failureDomain: "north",
                    alive,
                    isStale: true,
                    isStoreAvoided: false,
                    fallbackReads,
                    isAvoided: () => false,
                    getRank,
                }),
        );
        expect(sources.map(source => source.kind)).toEqual(["store", "store", "peer", "store", "peer"]);
        expect(sources[2]).not.toEqual(sources[4]);
    });

    // Guards against nodes that all ask one peer while the store does not answer them.
    it("spreads the nodes over their peers while the store is left to others", () => {
        const alive = createMembers(59);
        const asked = new Map<string, number>();
        for (const { id, failureDomain } of alive) {
            for (const fallbackReads of [2, 3]) {
                const source = chooseReadSource({
                    self: id,
                    failureDomain,
                    alive,
                    isStale: true,
                    isStoreAvoided: true,
                    fallbackReads,
                    isAvoided: () => false,
                    getRank,
                });
                expect(source.kind).toEqual("peer");
                if (source.kind === "peer") {
                    asked.set(source.peer.id, (asked.get(source.peer.id) ?? 0) + 1);
                }
            }
        }
        expect(Math.max(...asked.values()) < 10).toEqual(true);
    });
});
