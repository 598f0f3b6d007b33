import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { createPosition } from "../../src/common/index.js";
import { type KeyedRecord, type TopicPage, TopicState } from "../../src/topics/index.js";

function createRecord(key: string, position: number, value: string | undefined = `${key}@${position}`): KeyedRecord {
    return { key, position, value: value === undefined ? undefined : Buffer.from(value) };
}

function createRemoval(key: string, position: number): KeyedRecord {
    return { key, position, value: undefined };
}

function createPage(records: readonly KeyedRecord[], options: Partial<TopicPage> = {}): TopicPage {
    const end = Math.max(0, ...records.map(record => record.position + 1));
    return { records, isComplete: false, endPosition: end, confirmedAt: 0, ...options };
}

function readAll(state: TopicState): Record<string, string> {
    const found: Record<string, string> = {};
    for (const record of state.getAll()) {
        found[record.key] = record.value?.toString() ?? "";
    }
    return found;
}

/** Creates a state with the keys a, b and c, before the store comes back from a copy. */
function createLoadedState(): TopicState {
    const state = new TopicState();
    const records = [createRecord("a", 0), createRecord("b", 1), createRecord("c", 2)];
    state.apply(createPage(records, { isComplete: true }));
    return state;
}

/** Creates a record that was written, or kept, in the era after the store's return. */
function createLater(key: string, offset: number, value: string): KeyedRecord {
    return createRecord(key, createPosition({ era: 1, offset }), value);
}

function createReturnPage(records: readonly KeyedRecord[], endOffset: number): TopicPage {
    const endPosition = createPosition({ era: 1, offset: endOffset });
    return createPage(records, { isComplete: true, endPosition, confirmedAt: 5 });
}

describe("TopicState", () => {
    describe("apply", () => {
        it("removes a key that a complete page lacks", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("b", 1)]));
            const changed = state.apply(createPage([createRecord("b", 1)], { isComplete: true, endPosition: 3 }));
            expect(changed).toEqual([createRemoval("a", 2)]);
        });

        // Guards against lost updates: the pages of a whole read are not a snapshot, and a key may change after its
        // page was read. Removing a newer record would drop a live runner or restore an old configuration.
        it("retains records that are newer than a complete page", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("c", 7)]));
            state.apply(createPage([createRecord("a", 0)], { isComplete: true, endPosition: 5 }));
            expect(readAll(state)).toEqual({ a: "a@0", c: "c@7" });
        });

        // Guards against the use of revoked keys. Two peers answer, and the one that lags behind answers last. Its
        // answer is recent, but its state is old. If it confirmed the state, a key that was removed in between would be
        // accepted.
        it("is not confirmed by a page that ends at a lower position", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 4)], { confirmedAt: 100 }));
            state.apply(createPage([], { endPosition: 3, confirmedAt: 900 }));
            expect(state.getConfirmedAt()).toEqual(100);
        });

        // Guards against a configuration that is never seen, since the store came back from an older copy and gave out its offsets again.
        it("takes records of a later era, whatever their offsets, and none of before after them", () => {
            const state = createLoadedState();
            const changed = state.apply(createReturnPage([createLater("a", 1, "again")], 2));
            expect([changed.map(({ key }) => key), readAll(state).a]).toEqual([["a"], "again"]);
            expect(state.apply(createPage([createRecord("a", 9, "late")], { confirmedAt: 900 }))).toEqual([]);
            expect([readAll(state).a, state.getConfirmedAt()]).toEqual(["again", 5]);
        });

        // Guards against upstreams and evacuations that vanish for a moment, since the copy was made before them.
        it("keeps what a copy lacks until the topic is read whole once more", () => {
            const state = createLoadedState();
            state.apply(createReturnPage([createLater("a", 0, "a@0")], 1));
            expect(readAll(state)).toEqual({ a: "a@0", b: "b@1", c: "c@2" });
            state.apply(createPage([createLater("b", 1, "b@1")]));
            const changed = state.apply(createReturnPage([createLater("a", 0, "a@0"), createLater("b", 1, "b@1")], 2));
            expect([changed.map(({ key }) => key), readAll(state)]).toEqual([["c"], { a: "a@0", b: "b@1" }]);
        });

        it("reports no change for a record that the copy has kept, and passes its new position on", () => {
            const state = createLoadedState();
            expect(state.apply(createReturnPage([createLater("a", 0, "a@0")], 1))).toEqual([]);
            expect(state.getSince(createPosition({ era: 1, offset: 0 })).records.map(({ key }) => key)).toEqual(["a"]);
        });

        it("reports a record that is written anew in the same era, although its value is the same", () => {
            const state = createLoadedState();
            const again = createRecord("a", 3, "a@0");
            expect(state.apply(createPage([again]))).toEqual([again]);
        });

        it("converges to the newest state for any order of pages, with lost and repeated ones", () => {
            const keys = fc.constantFrom("a", "b", "c");
            const history = fc.array(fc.tuple(keys, fc.boolean()), { minLength: 1, maxLength: 20 });
            fc.assert(fc.property(history, fc.array(fc.nat(), { maxLength: 30 }), (entries, picks) => {
                const records = entries.map(([key, removed], position) =>
                    removed ? createRemoval(key, position) : createRecord(key, position)
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
        it("returns changes and removals from a position on", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("b", 1), createRemoval("a", 2)]));
            expect(state.getSince(2).records).toEqual([createRemoval("a", 2)]);
        });

        // Guards against nodes that send thousands of records to each of their peers for every single change. With more upstreams than
        // tombstones are retained, each removal was forgotten at once, and the node that reads the store ran out of memory.
        it("returns only the changes of a topic with thousands of records", () => {
            const state = new TopicState();
            const live = Array.from({ length: 3_000 }, (...[, index]) => createRecord(`u${index}`, index));
            state.apply(createPage(live, { isComplete: true }));
            state.apply(createPage([createRemoval("u7", 3_000), createRecord("u3000", 3_001)]));
            const page = state.getSince(3_000);
            expect(page.isComplete).toEqual(false);
            expect(page.records.map(({ key }) => key)).toEqual(["u7", "u3000"]);
        });

        it("returns the same list to all peers until the next change", () => {
            const state = new TopicState();
            state.apply(createPage([createRecord("a", 0), createRecord("b", 1)], { isComplete: true }));
            expect(state.getSince(1).records === state.getSince(1).records).toEqual(true);
            expect(state.getCompletePage().records === state.getCompletePage().records).toEqual(true);
            state.apply(createPage([createRecord("c", 2)]));
            expect(state.getSince(1).records.map(({ key }) => key)).toEqual(["b", "c"]);
        });

        it("returns the whole state when tombstones since the position were pruned", () => {
            const state = new TopicState();
            for (let position = 0; position < 2_200; position += 2) {
                state.apply(
                    createPage([createRecord(`k${position}`, position), createRemoval(`k${position}`, position + 1)]),
                );
            }
            const page = state.getSince(0);
            expect([page.isComplete, page.records.length]).toEqual([true, 0]);
        });
    });
});
