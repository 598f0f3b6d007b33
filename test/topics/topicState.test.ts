import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type KeyedRecord, type TopicPage, TopicState } from "../../src/topics/index.js";

function createRecord(key: string, offset: number, value: string | undefined = `${key}@${offset}`): KeyedRecord {
    return { key, offset, value: value === undefined ? undefined : Buffer.from(value) };
}

function createRemoval(key: string, offset: number): KeyedRecord {
    return { key, offset, value: undefined };
}

function createPage(records: readonly KeyedRecord[], options: Partial<TopicPage> = {}): TopicPage {
    const end = Math.max(0, ...records.map(record => record.offset + 1));
    return { records, isComplete: false, endOffset: end, confirmedAt: 0, ...options };
}

function readAll(state: TopicState): Record<string, string> {
    const found: Record<string, string> = {};
    for (const record of state.getAll()) {
        found[record.key] = record.value?.toString() ?? "";
    }
    return found;
}

describe("TopicState", () => {
    describe("apply", () => {
        it("takes a key that a whole page lacks for removed", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("b", 1)]));
            const changed = state.apply(createPage([createRecord("b", 1)], { isComplete: true, endOffset: 3 }));
            expect(changed).toEqual([createRemoval("a", 2)]);
        });

        // The pages of a whole read are no snapshot: a key may change after its page was read, and the change may be known
        // already. Removing it again would take a live runner out, or bring an old configuration back.
        it("keeps what is newer than the whole page", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("c", 7)]));
            state.apply(createPage([createRecord("a", 0)], { isComplete: true, endOffset: 5 }));
            expect(readAll(state)).toEqual({ a: "a@0", c: "c@7" });
        });

        // Two peers answer, the one that lags behind last. Its answer is young but its state is old; believed to be fresh,
        // a key that was taken away in between would be accepted.
        it("is not confirmed by a page that has seen less", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 4)], { confirmedAt: 100 }));
            state.apply(createPage([], { endOffset: 3, confirmedAt: 900 }));
            expect(state.getConfirmedAt()).toEqual(100);
        });

        it("ends in the newest state whatever order pages come in, lost and repeated ones among them", () => {
            const keys = fc.constantFrom("a", "b", "c");
            const history = fc.array(fc.tuple(keys, fc.boolean()), { minLength: 1, maxLength: 20 });
            fc.assert(fc.property(history, fc.array(fc.nat(), { maxLength: 30 }), (entries, picks) => {
                const records = entries.map(([key, removed], offset) =>
                    removed ? createRemoval(key, offset) : createRecord(key, offset)
                );
                const state = new TopicState();
                for (const pick of picks) {
                    state.apply(createPage([records[pick % records.length]]));
                }
                for (const record of records) {
                    state.apply(createPage([record]));
                }
                const expected: Record<string, string> = {};
                for (const { key, value } of records) {
                    if (value === undefined) {
                        delete expected[key];
                    }
                    else {
                        expected[key] = value.toString();
                    }
                }
                expect(readAll(state)).toEqual(expected);
            }));
        });
    });

    describe("getSince", () => {
        it("returns changes and removals from an offset on", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("b", 1), createRemoval("a", 2)]));
            expect(state.getSince(2).records).toEqual([createRemoval("a", 2)]);
        });

        it("returns everything when removals that old are no longer known", () => {
            const state = new TopicState();
            for (let offset = 0; offset < 2_200; offset += 2) {
                state.apply(createPage([createRecord(`k${offset}`, offset), createRemoval(`k${offset}`, offset + 1)]));
            }
            const page = state.getSince(0);
            expect([page.isComplete, page.records.length]).toEqual([true, 0]);
        });
    });
});
