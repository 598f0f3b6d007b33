import { expect } from "earl";
import { describe, it } from "node:test";
import { UnreachablePeers } from "../../src/membership/unreachablePeers.js";

describe("UnreachablePeers", () => {
    it("counts a peer as reported until it sends some heartbeats more", () => {
        const peers = new UnreachablePeers();
        peers.add({ id: "a", heartbeat: 100 });
        expect(peers.isReported("a", 100)).toEqual(true);
        expect(peers.isReported("a", 104)).toEqual(true);
        expect(peers.isReported("a", 105)).toEqual(false);
        expect(peers.isReported("b", 1)).toEqual(false);
    });

    it("applies what another node published, and keeps the newest heartbeat", () => {
        const own = new UnreachablePeers();
        const other = new UnreachablePeers();
        other.add({ id: "a", heartbeat: 50 });
        own.apply(other.add({ id: "b", heartbeat: 70 }));
        expect([own.isReported("a", 50), own.isReported("b", 70)]).toEqual([true, true]);
        own.apply(Buffer.from(JSON.stringify([{ id: "b", heartbeat: 10 }])));
        expect(own.includes({ id: "b", heartbeat: 70 })).toEqual(true);
    });

    it("ignores a value that cannot be read", () => {
        const peers = new UnreachablePeers();
        for (const text of ["", "{", "{}", JSON.stringify([{ id: 1 }])]) {
            peers.apply(Buffer.from(text));
        }
        expect(peers.isReported("1", 0)).toEqual(false);
    });

    it("publishes a bounded number of reports, and removes departed peers", () => {
        const peers = new UnreachablePeers();
        let value: Buffer = Buffer.alloc(0);
        for (let index = 0; index < 40; index += 1) {
            value = peers.add({ id: `n-${index}`, heartbeat: 1 });
        }
        expect((JSON.parse(value.toString()) as object[]).length).toEqual(16);
        peers.retain(new Map([["n-1", undefined]]));
        expect([peers.isReported("n-1", 1), peers.isReported("n-2", 1)]).toEqual([true, false]);
    });
});
