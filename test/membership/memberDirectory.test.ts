import { expect } from "earl";
import { describe, it } from "node:test";
import { MemberDirectory } from "../../src/membership/index.js";
import type { Vm } from "../../src/world/index.js";

function createRecord(id: string): Buffer {
    const record = { id, address: id, peerPort: 1, callerPort: 2, failureDomain: "north", region: "south" };
    return Buffer.from(JSON.stringify(record));
}

function createDirectory(): { readonly directory: MemberDirectory; readonly told: (readonly Vm[])[]; } {
    const told: (readonly Vm[])[] = [];
    return { directory: new MemberDirectory(vms => told.push(vms)), told };
}

describe("MemberDirectory", () => {
    // A node of a large fleet starts and reads the records of all others in one page. Working out the members after each record
    // takes time in proportion to the square of the fleet, and callers of the node wait for it.
    it("tells of all records of a page at once", () => {
        const { directory, told } = createDirectory();
        const ids = Array.from({ length: 195 }, (...[, index]) => `n-${index}`);
        expect(directory.apply(ids.map(id => [id, createRecord(id)] as const))).toEqual([]);
        expect(told.length).toEqual(1);
        expect(told[0].length).toEqual(195);
    });

    it("forgets a node whose record was removed", () => {
        const { directory, told } = createDirectory();
        directory.apply([["n-1", createRecord("n-1")], ["n-2", createRecord("n-2")]]);
        directory.apply([["n-1", undefined]]);
        expect(told.at(-1)?.map(vm => vm.id)).toEqual(["n-2"]);
        expect(directory.getCallerPort("n-1")).toEqual(undefined);
    });

    it("names the nodes whose records cannot be read, and tells nothing of them", () => {
        const { directory, told } = createDirectory();
        expect(directory.apply([["n-1", Buffer.from("{")]])).toEqual(["n-1"]);
        expect(told).toEqual([]);
    });
});
