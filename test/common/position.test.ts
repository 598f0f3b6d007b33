import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { createPosition, isOfLaterEra, readPosition, type TopicOffset } from "../../src/common/index.js";

const offsets = fc.record({ era: fc.nat(100_000), offset: fc.nat(2 ** 31 - 1) });

describe("createPosition", () => {
    it("grows with the era first, and then with the offset", () => {
        fc.assert(fc.property(offsets, offsets, (first, second) => {
            const isGreater = first.era > second.era || first.era === second.era && first.offset > second.offset;
            expect(createPosition(first) > createPosition(second)).toEqual(isGreater);
        }));
    });

    it("keeps both, and is an offset itself for a store that never came back", () => {
        fc.assert(fc.property(offsets, (topicOffset: TopicOffset) => {
            expect(readPosition(createPosition(topicOffset))).toEqual({ ...topicOffset });
        }));
        expect(createPosition({ era: 0, offset: 7 })).toEqual(7);
    });
});

describe("isOfLaterEra", () => {
    it("compares the eras alone", () => {
        const before = createPosition({ era: 1, offset: 900 });
        expect(isOfLaterEra(createPosition({ era: 2, offset: 0 }), before)).toEqual(true);
        expect(isOfLaterEra(createPosition({ era: 1, offset: 901 }), before)).toEqual(false);
    });
});
