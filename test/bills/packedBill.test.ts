import { expect } from "earl";
import { describe, it } from "node:test";
import { packBill, unpackBill } from "../../src/bills/packedBill.js";
import { createBill } from "../fixtures/bills.js";

describe("packBill", () => {
    const line = { version: "plan@1", inputTokens: 7, cachedTokens: 3, outputTokens: 5, cost: 0.25 };

    // Guards against wrong charges: a bill waits packed through an outage, and a field that changes places with another
    // would charge a workspace for the usage of another one.
    it("preserves every field", () => {
        for (
            const changes of [
                {},
                { session: "bench \"3\"" },
                { session: "" },
                { lines: [] },
                {
                    lines: [line, { ...line, version: "plan@2", cost: 1.5 }],
                    total: 1.75,
                    answeredAt: 1_767_225_600_123,
                },
            ]
        ) {
            const bill = createBill("request-1", changes);
            expect(unpackBill(bill.requestId, packBill(bill))).toEqual(bill);
        }
    });
});
