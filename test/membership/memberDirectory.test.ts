import { expect } from "earl";
import { describe, it } from "node:test";
import { MemberDirectory } from "../../src/membership/index.js";
import type { Vm } from "../../src/world/index.js";

function createRecord(id: string): Buffer {
    const record = { id, address: id, peerPort: 1, callerPort: 2, failureDomain: "north", region: "south" };
    return Buffer.from(JSON.stringify(record));
}

function createDirectory(): { readonly directory: MemberDirectory; readonly reported: (readonly Vm[])[]; } {
    const reported: (readonly Vm[])[] = [];
    return { directory: new MemberDirectory(vms => reported.push(vms)), reported };
}

describe("MemberDirectory", () => {
    // Guards against a slow start in a large fleet: a node reads the records of all others in one page, and computing
    // the members after each record takes time quadratic in the size of the fleet while callers wait.
    it("reports all records of a page at once", () => {
        const { directory, reported } = createDirectory();
        const ids = Array.from({ length: 195 }, (...[, index]) => `n-${index}`);
        expect(directory.apply(ids.map(id => [id, createRecord(id)] as const))).toEqual([]);
        expect(reported.length).toEqual(1);
        expect(reported[0].length).toEqual(195);
    });

    it("removes a node whose record was removed", () => {
        const { directory, reported } = createDirectory();
        directory.apply([["n-1", createRecord("n-1")], ["n-2", createRecord("n-2")]]);
        directory.apply([["n-1", undefined]]);
        expect(reported.at(-1)?.map(vm => vm.id)).toEqual(["n-2"]);
        expect(directory.getCallerPort("n-1")).toEqual(undefined);
    });

    it("returns the nodes whose records cannot be read, and reports no change for them", () => {
        const { directory, reported } = createDirectory();
        expect(directory.apply([["n-1", Buffer.from("{")]])).toEqual(["n-1"]);
        expect(reported).toEqual([]);
    });
});
