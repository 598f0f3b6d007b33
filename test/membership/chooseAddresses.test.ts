import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseAddresses, type Member } from "../../src/membership/index.js";

function createMembers(count: number): Member[] {
    return Array.from({ length: count }, (...[, index]) => ({
        id: `node-${index}`,
        address: `10.0.0.${index}`,
        peerPort: 1,
        failureDomain: index % 4 === 0 ? "near" : "far",
        region: "south",
        state: "alive" as const,
        protocol: { oldest: 1, newest: 1 },
        configurationOffset: 0,
        heartbeatAge: 0,
        hasBeenSeen: true,
    }));
}

describe("chooseAddresses", () => {
    it("returns all members of a small site", () => {
        expect(chooseAddresses(createMembers(8), "near").length).toEqual(8);
    });

    // Guards against idle members of a large site: a response holds at most 64 addresses, so equal responses to all
    // callers would leave the other members without requests.
    it("returns the members of the caller's failure domain and a random sample of the others at a large site", () => {
        const members = createMembers(90);
        const first = chooseAddresses(members, "near");
        expect([first.length, first.filter(member => member.failureDomain === "near").length]).toEqual([64, 23]);
        const used = new Set(
            Array.from({ length: 20 }, () => chooseAddresses(members, "near")).flat().map(({ id }) => id),
        );
        expect(used.size).toEqual(90);
    });
});
