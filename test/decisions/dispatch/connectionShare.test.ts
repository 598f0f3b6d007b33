import { expect } from "earl";
import { describe, it } from "node:test";
import { getConnectionShare } from "../../../src/decisions/index.js";

describe("getConnectionShare", () => {
    // Guards against nodes that together open more connections than an upstream accepts, which resets those beyond its limit.
    it("keeps all nodes together to the limit, down to one connection for each", () => {
        for (const nodes of [1, 7, 59, 195, 350]) {
            for (const limit of [96, 480, 1_300]) {
                const share = getConnectionShare(limit, nodes);
                expect(share * nodes <= limit || share === 1).toEqual(true);
            }
        }
        expect(getConnectionShare(480, 59)).toEqual(8);
        expect(getConnectionShare(480, 195)).toEqual(2);
    });
});
