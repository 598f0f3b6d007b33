import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ClaimFold, type ClaimLifetimes, type ClaimOperation } from "../../src/claims/index.js";
import type { LogEntry } from "../../src/log/record.js";

const lifetimes: ClaimLifetimes = { runMilliseconds: 1_000, pinMilliseconds: 2_000, deduplicationMilliseconds: 500 };
const runKey = "run:w/k";
const pinKey = "pin:w/s";

function createEntry(offset: number, time: number, operations: readonly ClaimOperation[], id?: string): LogEntry {
    const record = { id: id ?? `record-${offset}`, kind: "claims", format: 1, writer: "test", body: { operations } };
    return { offset, time, record };
}

function claim(id: string, key = runKey, value = id): ClaimOperation {
    return { kind: "claim", id, key, value };
}

function release(id: string, key = runKey): ClaimOperation {
    return { kind: "release", id, key, value: id };
}

function complete(id: string, outcome: string, key = runKey): ClaimOperation {
    return { kind: "complete", id, key, value: id, outcome };
}

function fold(steps: readonly (readonly [time: number, operation: ClaimOperation])[]): ClaimFold {
    const result = new ClaimFold(lifetimes);
    for (const [offset, [time, operation]] of steps.entries()) {
        result.apply(createEntry(offset, time, [operation]));
    }
    return result;
}

describe("ClaimFold", () => {
    describe("apply", () => {
        it("grants a key to the first claim in the log's order", () => {
            const result = new ClaimFold(lifetimes);
            const decisions = result.apply(createEntry(0, 0, [claim("a"), claim("b")]));
            expect(decisions.map(decision => decision.verdict)).toEqual(["granted", "held"]);
            expect(decisions[1].value).toEqual("a");
        });

        it("returns the outcome to claims after the completion", () => {
            const result = fold([[0, claim("a")], [1, complete("a", "done")]]);
            expect(result.decide(claim("b"))).toEqual({
                kind: "claim",
                id: "b",
                verdict: "completed",
                value: "a",
                outcome: "done",
            });
        });

        it("ignores a release or completion by a claim that is not the holder", () => {
            const result = fold([[0, claim("a")], [1, release("b")], [2, complete("c", "forged")]]);
            expect(result.get(runKey)).toEqual({ id: "a", value: "a", time: 0 });
        });

        it("retains a completed run when its holder releases it late", () => {
            const result = fold([[0, claim("a")], [1, complete("a", "done")], [2, release("a")], [3, claim("b")]]);
            expect(result.get(runKey)?.id).toEqual("a");
        });

        // Guards against a key that stays held for a day: two collectors wrote the same claim, and its claimant
        // released it in between. If the second record claimed the key again, callers would receive "in progress"
        // although no entry runs it.
        it("does not grant a claim after its release", () => {
            const result = fold([[0, claim("a")], [1, release("a")], [2, claim("a")]]);
            expect(result.get(runKey)).toEqual(undefined);
            expect(fold([[0, release("a")], [1, claim("a")]]).get(runKey)).toEqual(undefined);
        });

        // Guards against a session that changes its version: an entry released a pin whose claim it could not read
        // back, but another entry had read it and answered from that version.
        it("never releases a pin", () => {
            const result = fold([[0, claim("a", pinKey, "m@1")], [1, release("a", pinKey)], [
                2,
                claim("b", pinKey, "m@2"),
            ]]);
            expect(result.get(pinKey)?.value).toEqual("m@1");
        });

        it("expires keys by the log's time only, which never moves back", () => {
            const result = fold([[0, claim("a")], [900, claim("b")], [100, claim("c")]]);
            expect(result.get(runKey)?.id).toEqual("a");
            result.apply(createEntry(3, 1_001, [claim("d")]));
            expect(result.get(runKey)?.id).toEqual("d");
        });

        // Guards against a second run when the clock of the log service is set back: a key that is claimed then must be
        // retained for its whole lifetime.
        it("retains a key for its lifetime when the log's clock was set back", () => {
            const result = new ClaimFold(lifetimes);
            result.apply(createEntry(0, 900, []));
            result.apply(createEntry(1, 100, [claim("a")]));
            result.apply(createEntry(2, 1_200, [claim("b")]));
            expect(result.get(runKey)?.id).toEqual("a");
        });

        it("renews a pin with each claim on it", () => {
            const result = fold([
                [0, claim("a", pinKey, "m@1")],
                [1_500, claim("b", pinKey, "m@2")],
                [3_000, claim("c", pinKey, "m@3")],
            ]);
            expect(result.get(pinKey)?.value).toEqual("m@1");
        });

        it("ignores a repeated record", () => {
            const result = new ClaimFold(lifetimes);
            result.apply(createEntry(0, 0, [claim("a")], "same"));
            result.apply(createEntry(1, 1, [release("a")]));
            result.apply(createEntry(2, 2, [claim("b")], "same"));
            expect(result.get(runKey)).toEqual(undefined);
        });
    });

    describe("properties", () => {
        const ids = fc.constantFrom("a", "b", "c", "d");
        const keys = fc.constantFrom(runKey, "run:w/other", pinKey);
        const operations: fc.Arbitrary<ClaimOperation> = fc.oneof(
            fc.record({ kind: fc.constant("claim" as const), id: ids, key: keys, value: ids }),
            fc.record({ kind: fc.constant("release" as const), id: ids, key: keys, value: ids }),
            fc.record({ kind: fc.constant("complete" as const), id: ids, key: keys, value: ids, outcome: ids }),
        );
        const entries = fc.array(fc.tuple(fc.nat(400), fc.nat(12), fc.array(operations, { maxLength: 4 })), {
            maxLength: 25,
        }).map(steps => {
            let time = 0;
            return steps.map(([wait, record, content], offset) => {
                time += wait;
                return createEntry(offset, time, content, `record-${record}`);
            });
        });

        it("never grants two claims at once, nor another one after an outcome", () => {
            fc.assert(fc.property(entries, all => {
                const result = new ClaimFold(lifetimes);
                const completed = new Map<string, number>();
                for (const entry of all) {
                    for (const [index, decision] of result.apply(entry).entries()) {
                        const { operations: content } = entry.record.body as { operations: ClaimOperation[]; };
                        const { key } = content[index];
                        const at = completed.get(key);
                        const isRetained = at !== undefined && result.getLogTime() - at <= lifetimes.runMilliseconds;
                        if (decision.verdict === "granted" && key !== pinKey && isRetained) {
                            throw new Error("granted again after its completion");
                        }
                        if (decision.verdict === "completed" && key !== pinKey && at === undefined) {
                            completed.set(key, result.get(key)?.time ?? 0);
                        }
                        if (at !== undefined && !isRetained) {
                            completed.delete(key);
                        }
                    }
                }
            }));
        });

        it("gives every reader the same state, from the start or from a snapshot at any offset", () => {
            fc.assert(fc.property(entries, fc.nat(25), fc.integer({ min: 1, max: 3 }), (all, length, maxItems) => {
                const whole = new ClaimFold(lifetimes);
                const first = new ClaimFold(lifetimes);
                for (const entry of all.slice(0, length)) {
                    first.apply(entry);
                }
                const parts = JSON.parse(JSON.stringify(first.createSnapshot("s", maxItems, 1_000)));
                const restored = ClaimFold.fromSnapshot(parts, lifetimes);
                const decisions = [];
                for (const entry of all) {
                    decisions.push(whole.apply(entry));
                }
                const later = all.slice(length).map(entry => restored.apply(entry));
                expect(later).toEqual(decisions.slice(length));
                expect(restored.createSnapshot("e", 100, 10_000)).toEqual(whole.createSnapshot("e", 100, 10_000));
            }));
        });

        it("does not change when a folded prefix is applied again", () => {
            fc.assert(fc.property(entries, fc.nat(25), (all, length) => {
                const result = new ClaimFold(lifetimes);
                for (const entry of all) {
                    result.apply(entry);
                }
                const before = result.createSnapshot("s", 100, 10_000);
                for (const entry of all.slice(0, length)) {
                    result.apply(entry);
                }
                expect(result.createSnapshot("s", 100, 10_000)).toEqual(before);
            }));
        });
    });
});
