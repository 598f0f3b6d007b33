import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { LeaseFold } from "../../src/control/index.js";
import type { LogEntry } from "../../src/log/record.js";

const lease = "control";

function createEntry(offset: number, kind: string, body: unknown): LogEntry {
    return { offset, time: 0, record: { id: `record-${offset}`, kind, format: 1, writer: "test", body } };
}

function take(holder: string, supersedes?: number) {
    return ["lease-take", { lease, holder, supersedes, termMilliseconds: 1_000 }] as const;
}

function renew(fence: number) {
    return ["lease-renew", { lease, fence }] as const;
}

function release(fence: number) {
    return ["lease-release", { lease, fence }] as const;
}

function fold(steps: readonly (readonly [string, unknown])[]): LeaseFold {
    const result = new LeaseFold();
    for (const [offset, [kind, body]] of steps.entries()) {
        result.apply(createEntry(offset, kind, body));
    }
    return result;
}

describe("LeaseFold", () => {
    describe("apply", () => {
        it("accepts the first take, with its offset as the fencing token", () => {
            const result = fold([["other", {}], take("a"), take("b")]);
            expect([result.get(lease)?.holder, result.get(lease)?.fence]).toEqual(["a", 1]);
            expect(result.isCurrentFencingToken(lease, 1)).toEqual(true);
        });

        it("accepts the first of two takes that supersede the same record", () => {
            expect(fold([take("a"), take("b", 0), take("c", 0)]).get(lease)?.holder).toEqual("b");
        });

        // A node saw no renewal for the term and writes its take, while the holder's renewal is in flight and arrives
        // first. If the take were accepted, there would be two holders.
        it("rejects a take that was decided before a renewal", () => {
            const result = fold([take("a"), renew(0), take("b", 0)]);
            expect(result.get(lease)?.holder).toEqual("a");
            expect(fold([take("a"), renew(0), take("b", 1)]).get(lease)?.holder).toEqual("b");
        });

        // A holder was paused for longer than its term and another node took the lease. The renewal of the former
        // holder arrives afterwards.
        it("rejects a former holder's renewal and release", () => {
            const result = fold([take("a"), take("b", 0), renew(0), release(0)]);
            expect([result.get(lease)?.fence, result.get(lease)?.isReleased]).toEqual([1, false]);
            expect(result.isCurrentFencingToken(lease, 0)).toEqual(false);
        });

        it("rejects a renewal after a release", () => {
            const result = fold([take("a"), release(0), renew(0)]);
            expect([result.get(lease)?.isReleased, result.get(lease)?.lastOffset]).toEqual([true, 1]);
        });

        it("gives every reader the same leases and growing fencing tokens, also with repeated entries", () => {
            const step = fc.oneof(
                fc.tuple(fc.constantFrom("a", "b"), fc.option(fc.nat(12), { nil: undefined })).map(([holder, offset]) =>
                    take(holder, offset)
                ),
                fc.nat(12).map(renew),
                fc.nat(12).map(release),
            );
            fc.assert(fc.property(fc.array(step, { maxLength: 14 }), fc.nat(14), (steps, snapshotOffset) => {
                const uninterrupted = new LeaseFold();
                let fence = -1;
                for (const [offset, [kind, body]] of steps.entries()) {
                    uninterrupted.apply(createEntry(offset, kind, body));
                    uninterrupted.apply(createEntry(offset, kind, body));
                    const next = uninterrupted.get(lease)?.fence ?? -1;
                    expect(next >= fence).toEqual(true);
                    fence = next;
                }
                const first = fold(steps.slice(0, snapshotOffset));
                const restored = new LeaseFold();
                restored.restore(first.getOffset(), first.getSnapshot());
                for (const [offset, [kind, body]] of steps.entries()) {
                    restored.apply(createEntry(offset, kind, body));
                }
                expect(restored.get(lease)).toEqual(uninterrupted.get(lease));
            }));
        });
    });

    describe("restore", () => {
        it("does not move the fold back", () => {
            const result = fold([take("a"), take("b", 0)]);
            result.restore(0, fold([take("a")]).getSnapshot());
            expect(result.get(lease)?.holder).toEqual("b");
        });
    });
});
