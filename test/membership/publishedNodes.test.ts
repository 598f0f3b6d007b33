import { expect } from "earl";
import { describe, it } from "node:test";
import { PublishedNodes } from "../../src/membership/publishedNodes.js";

const node = { address: "10.0.0.1", peerPort: 7_000, failureDomain: "north", region: "south", oldest: 1, newest: 2 };

describe("PublishedNodes", () => {
    it("parses a value once, and again when it changes", () => {
        const nodes = new PublishedNodes();
        const value = Buffer.from(JSON.stringify(node));
        const first = nodes.parse("a", value);
        expect(first).toEqual(node);
        expect(nodes.parse("a", value) === first).toEqual(true);
        expect(nodes.parse("a", Buffer.from(JSON.stringify({ ...node, newest: 3 })))?.newest).toEqual(3);
        nodes.remove("a");
        expect(nodes.parse("a", undefined)).toEqual(undefined);
    });

    // Guards against one node whose unreadable value ends all work of its peers.
    it("returns undefined for a value that cannot be read", () => {
        const nodes = new PublishedNodes();
        for (const text of ["", "{", "[]", JSON.stringify({ ...node, peerPort: "7000" })]) {
            expect(nodes.parse("a", Buffer.from(text))).toEqual(undefined);
        }
    });
});
