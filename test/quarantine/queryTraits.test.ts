import { expect } from "earl";
import { describe, it } from "node:test";
import { createTraitKeys } from "../../src/quarantine/index.js";

function getShared(first: string, second: string): number {
    const keys = createTraitKeys("request", second);
    return createTraitKeys("request", first).filter(key => keys.includes(key)).length;
}

describe("createTraitKeys", () => {
    it("returns the fingerprint alone without a query", () => {
        expect(createTraitKeys("request", "")).toEqual(["request"]);
    });

    // Guards against a crashing request that passes for another one as its caller writes its query in another way.
    it("does not depend on the order of the parameters or on their encoding", () => {
        const keys = new Set(createTraitKeys("request", "order=a+b&ref=%C3%A9"));
        expect(new Set(createTraitKeys("request", "ref=é&%6Frder=a%20b"))).toEqual(keys);
    });

    // Guards against sound requests that are held back with a crashing one, or clear it, as they share its path.
    it("has a key in common with requests that share a parameter, and one with all that have a query", () => {
        expect(getShared("order=crashing&ref=1", "order=crashing&ref=2")).toEqual(2);
        expect(getShared("order=crashing&ref=1", "order=sound&ref=2")).toEqual(1);
        expect(getShared("order=crashing", "")).toEqual(0);
        expect(
            createTraitKeys("other", "order=crashing").some(key =>
                createTraitKeys("request", "order=crashing").includes(key)
            ),
        ).toEqual(false);
    });

    // Guards against memory and work that grow with the number of parameters.
    it("is bounded, and still finds what stays among hundreds of parameters", () => {
        const many = Array.from({ length: 500 }, (_, index) => `p${index}=${index}`);
        const first = [...many, "ref=1"].join("&");
        const second = ["ref=2", ...many.toReversed()].join("&");
        expect(createTraitKeys("request", first).length <= 66).toEqual(true);
        expect(getShared(first, second) >= 60).toEqual(true);
    });
});
