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
    it("gives all members of a small site", () => {
        expect(chooseAddresses(createMembers(8), "near").length).toEqual(8);
    });

    // Callers take no more than 64 addresses. Given the same ones of a large site, they would leave the rest of it idle.
    it("gives a large site's callers their own failure domain and a draw of the others", () => {
        const members = createMembers(90);
        const first = chooseAddresses(members, "near");
        expect([first.length, first.filter(member => member.failureDomain === "near").length]).toEqual([64, 23]);
        const used = new Set(
            Array.from({ length: 20 }, () => chooseAddresses(members, "near")).flat().map(({ id }) => id),
        );
        expect(used.size).toEqual(90);
    });
});
