import { expect } from "earl";
import { describe, it } from "node:test";
import type { Member } from "../../src/membership/index.js";
import { chooseReader, type ReadSource } from "../../src/topics/index.js";

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
    }));
}

function chooseAll(alive: readonly Member[]): ReadSource[] {
    return alive.map(({ id, failureDomain }) =>
        chooseReader({ self: id, failureDomain, alive, isStale: false, detours: 0 })
    );
}

describe("chooseReader", () => {
    it("lets one node of a small site read the store", () => {
        const sources = chooseAll(createMembers(8, index => `domain-${index % 4}`));
        expect(sources.filter(source => source.kind === "store").length).toEqual(1);
    });

    it("lets one node of each large failure domain read it", () => {
        const sources = chooseAll(createMembers(90, index => `domain-${index % 5}`));
        expect(sources.filter(source => source.kind === "store").length).toEqual(5);
    });

    // The store turns some machines away and serves the others. The one that everybody hears from is turned away; whoever
    // waits for it would soon refuse every key.
    it("goes to the store and to other peers by turns while the state is old", () => {
        const alive = createMembers(4);
        const kinds = Array.from(
            { length: 5 },
            (...[, detours]) => chooseReader({ self: "node-0", failureDomain: "north", alive, isStale: true, detours }),
        );
        expect(kinds.map(source => source.kind)).toEqual(["store", "store", "peer", "store", "peer"]);
        expect(kinds[2]).not.toEqual(kinds[4]);
    });
});
