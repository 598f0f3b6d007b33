import { expect } from "earl";
import { describe, it } from "node:test";

interface ProcessReport {
    readonly sharedObjects: readonly string[];
}

describe("the libraries of the programs", () => {
    // Guards against a library that sets TCP_USER_TIMEOUT, which Node cannot: the kernel would then end idle connections earlier than
    // the program's own timers expect.
    it("load no native code that could set options of sockets", async () => {
        await import("../../src/platform/nodeContainer.js");
        await import("../../src/entry/container.js");
        const { sharedObjects } = process.report.getReport() as unknown as ProcessReport;
        expect(sharedObjects.length).toBeGreaterThan(0);
        expect(sharedObjects.filter(path => path.endsWith(".node"))).toEqual([]);
    });
});
