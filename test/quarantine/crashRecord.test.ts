import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type CrashRecord,
    decodeCrashRecords,
    encodeCrashRecords,
    mergeCrashRecords,
} from "../../src/quarantine/index.js";

const record: CrashRecord = { fingerprint: "a", points: 6, cleared: 2, until: 1_000, crashedAt: 900 };

describe("records of requests that crash upstreams", () => {
    it("are read as they were written", () => {
        expect(decodeCrashRecords(encodeCrashRecords([record]))._unsafeUnwrap()).toEqual([record]);
    });

    it("are refused when they are damaged", () => {
        for (const text of ["", "{}", "[{}]", JSON.stringify([{ ...record, points: -1 }])]) {
            expect(decodeCrashRecords(Buffer.from(text))._unsafeUnwrapErr().kind).toEqual("protocol");
        }
    });

    it("are merged in any order with the same result", () => {
        const newer: CrashRecord = { ...record, points: 8, cleared: 0, until: 500, crashedAt: 700 };
        const merged: CrashRecord = { fingerprint: "a", points: 8, cleared: 2, until: 500, crashedAt: 700 };
        expect([mergeCrashRecords(record, newer), mergeCrashRecords(newer, record)]).toEqual([merged, merged]);
        expect(mergeCrashRecords(record, { ...record, until: 2_000 }).until).toEqual(2_000);
        const earlier = { ...record, crashedAt: 800 };
        expect([mergeCrashRecords(record, earlier), mergeCrashRecords(earlier, record)]).toEqual([earlier, earlier]);
    });
});
