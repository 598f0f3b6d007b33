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
        chooseReadSource({ self: id, failureDomain, alive, isStale: false, fallbackReads: 0, isAvoided, getRank })
    );
}

/** Returns how many sources lie between a node and the store. */
function countHops(alive: readonly Member[], sources: readonly ReadSource[], index: number): number {
    const source = sources[index];
    return source.kind === "store" ? 0 : 1 + countHops(alive, sources, alive.indexOf(source.peer));
}

describe("chooseReader", () => {
    it("lets one node of a small site read the store", () => {
        const sources = chooseAll(createMembers(8, index => `domain-${index % 4}`));
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
    });

    // With a reader for each failure domain, 90 nodes in five of them made five times the calls of a small site.
    it("lets one node of a large site read the store, and one of each large failure domain hear from it", () => {
        const alive = createMembers(90, index => `domain-${index % 5}`);
        const sources = chooseAll(alive);
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
        const heardBy = new Map<Member, number>();
        for (const [index, source] of sources.entries()) {
            expect(countHops(alive, sources, index) <= 2).toEqual(true);
            if (source.kind === "peer") {
                heardBy.set(source.peer, (heardBy.get(source.peer) ?? 0) + 1);
            }
        }
        expect(heardBy.size).toEqual(5);
        expect(Math.max(...heardBy.values()) <= 17 + 4).toEqual(true);
    });

    // The node that everybody hears from is killed. If each turned to the store until gossip told of it, a large site would read
    // it a thousand times in those seconds; callers notice nothing either way, but the store turns calls away beyond its rate.
    it("agrees on the next node when the first one does not answer", () => {
        const alive = createMembers(8);
        const [first] = [...alive].sort((left, right) => getRank(right.id) - getRank(left.id));
        const sources = chooseAll(alive.filter(member => member !== first), node => node === first.id);
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
        expect(sources.some(source => source.kind === "peer" && source.peer === first)).toEqual(false);
    });

    // The store turns some machines away and serves the others. The one that everybody hears from is turned away; whoever
    // waits for it would soon refuse every key.
    it("goes to the store and to other peers by turns while the state is old", () => {
        const alive = createMembers(4);
        const kinds = Array.from(
            { length: 5 },
            (...[, detours]) =>
                chooseReadSource({
                    self: "node-0",
                    failureDomain: "north",
                    alive,
                    isStale: true,
                    fallbackReads: detours,
                    isAvoided: () => false,
                    getRank,
                }),
        );
        expect(kinds.map(source => source.kind)).toEqual(["store", "store", "peer", "store", "peer"]);
        expect(kinds[2]).not.toEqual(kinds[4]);
    });
});
