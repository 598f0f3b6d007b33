import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
    basedOnWindow,
    type Change,
    ConfigurationFold,
    createPublishRecord,
    type RecordResult,
    treeFormat,
} from "../../src/configuration/index.js";
import type { LogEntry, LogRecord } from "../../src/log/index.js";
import { createLogEntries, createPublication, smallTree } from "./records.js";

function foldAll(
    records: readonly LogRecord[],
): { readonly fold: ConfigurationFold; readonly verdicts: readonly RecordResult[]; } {
    const fold = new ConfigurationFold();
    const verdicts = createLogEntries(records).map(entry => fold.apply(entry));
    return { fold, verdicts };
}

function getOutcomes(records: readonly LogRecord[]): readonly string[] {
    return foldAll(records).verdicts.map(verdict => verdict.outcome);
}

const raisePriority: Change = { section: "workspace.bench", key: "priority", value: "1" };
const lowerPriority: Change = { section: "workspace.bench", key: "priority", value: "8" };
const setShare: Change = { section: "workspace.bench", key: "share", value: "3" };
const withdrawPlan: Change = { section: "version.plan@1", key: "status", value: "withdrawn" };
const servePlan: Change = { section: "version.plan@1", key: "status", value: "serving" };

describe("ConfigurationFold", () => {
    describe("apply", () => {
        // Two operators change the same key at once. Without one decision for all readers, one half of the entries would
        // run by one operator's word and the other half by the other's.
        it("accepts the first of two racing changes and names it to the second", () => {
            const { verdicts } = foldAll([
                createPublication(smallTree),
                createPublication([raisePriority], { basedOn: 1, author: "bruno" }),
                createPublication([lowerPriority], { basedOn: 1, author: "carla" }),
            ]);
            expect(verdicts.map(verdict => verdict.outcome)).toEqual(["accepted", "accepted", "rejected"]);
            expect(verdicts[2].beatenBy).toEqual({
                offset: 1,
                author: "bruno",
                section: "workspace.bench",
                key: "priority",
            });
        });

        it("accepts racing changes of different keys", () => {
            const records = [
                createPublication(smallTree),
                createPublication([raisePriority], { basedOn: 1 }),
                createPublication([setShare], { basedOn: 1 }),
            ];
            expect(getOutcomes(records)).toEqual(["accepted", "accepted", "accepted"]);
        });

        // One operator removes a workspace while another edits it. The edit must not bring half of it back.
        it("rejects a change below a section that was removed meanwhile, and the other way round", () => {
            const removal: Change = { section: "workspace.bench", key: "*" };
            const edit: Change = { section: "workspace.bench.application.desk", key: "priority", value: "3" };
            const base = createPublication(smallTree);
            const late = { basedOn: 1 };
            expect(getOutcomes([base, createPublication([removal], late), createPublication([edit], late)]).at(-1))
                .toEqual("rejected");
            expect(getOutcomes([base, createPublication([edit], late), createPublication([removal], late)]).at(-1))
                .toEqual("rejected");
            // The workspace was added again, so that only the removal tells that the edit is out of date.
            const again = createPublication([{ section: "workspace.bench", key: "priority", value: "4" }], {
                basedOn: 2,
            });
            expect(
                getOutcomes([base, createPublication([removal], late), again, createPublication([edit], late)]).at(-1),
            )
                .toEqual("rejected");
        });

        // Somebody edits the version's status while somebody else withdraws it because its answers are wrong. If the
        // withdrawal lost the race, callers would go on getting those answers.
        it("never loses a withdrawal to a race", () => {
            const { fold, verdicts } = foldAll([
                createPublication(smallTree),
                createPublication([{ ...servePlan, value: "draining" }], { basedOn: 1 }),
                createPublication([withdrawPlan], { basedOn: 1 }),
                createPublication([servePlan], { basedOn: 2 }),
            ]);
            expect(verdicts.map(verdict => verdict.outcome)).toEqual(["accepted", "accepted", "accepted", "rejected"]);
            expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("withdrawn");
        });

        it("puts a withdrawal in force although the rest of its record is beaten or invalid", () => {
            for (const other of [lowerPriority, { ...raisePriority, value: "urgent" }]) {
                const { fold, verdicts } = foldAll([
                    createPublication(smallTree),
                    createPublication([raisePriority], { basedOn: 1 }),
                    createPublication([withdrawPlan, other], { basedOn: 1 }),
                ]);
                expect(verdicts[2].outcome).toEqual("rejected");
                expect(verdicts[2].withdrawn).toEqual(["plan@1"]);
                expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("withdrawn");
                expect(fold.getConfiguration().getEffective({ workspace: "bench" })._unsafeUnwrap().priority).toEqual(
                    1,
                );
            }
        });

        // A version's section is removed and added again by somebody who had not seen its withdrawal in between.
        it("does not let an author who has not seen a withdrawal bring the version back", () => {
            const { fold } = foldAll([
                createPublication(smallTree),
                createPublication([{ section: "version.plan@1", key: "*" }], { basedOn: 1 }),
                createPublication([withdrawPlan], { basedOn: 1 }),
                createPublication(smallTree.slice(0, 3), { basedOn: 2 }),
            ]);
            expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("withdrawn");
        });

        it("lets an author who has seen a withdrawal lift it", () => {
            const { fold } = foldAll([
                createPublication(smallTree),
                createPublication([withdrawPlan], { basedOn: 1 }),
                createPublication([servePlan], { basedOn: 2 }),
            ]);
            expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("serving");
        });

        // A publication was rejected because its version did not exist yet, and its repeat arrives after somebody added the
        // version. Its author was told that it was rejected, so it must not come into force behind the author's back.
        it("ignores the repeat of a rejected record that would be valid by now", () => {
            const early = createPublication([{ section: "workspace.bench", key: "allowed", value: "new@1" }], {
                basedOn: 1,
            });
            const { fold, verdicts } = foldAll([
                createPublication(smallTree),
                early,
                createPublication([
                    { section: "version.new@1", key: "input_price", value: "1" },
                    { section: "version.new@1", key: "output_price", value: "1" },
                ], { basedOn: 2 }),
                early,
            ]);
            expect(verdicts.map(verdict => verdict.outcome)).toEqual(["accepted", "rejected", "accepted", "repeated"]);
            expect(fold.getConfiguration().getTree().get("workspace.bench")?.has("allowed")).toEqual(false);
        });

        it("rejects a record with any mistake as a whole", () => {
            const wrong: readonly Change[] = [
                { section: "workspace.bench", key: "priorty", value: "1" },
                { section: "workspace.bench", key: "priority", value: "10" },
                { section: "elsewhere", key: "priority", value: "1" },
                { section: "workspace.new.application.desk", key: "priority", value: "1" },
                { section: "workspace.bench", key: "allowed", value: "plan@2" },
                { section: "workspace.bench", key: "constructor", value: "1" },
                { section: "version.plan@1", key: "input_price" },
            ];
            for (const change of wrong) {
                const records = [createPublication(smallTree), createPublication([setShare, change], { basedOn: 1 })];
                const { fold, verdicts } = foldAll(records);
                expect(verdicts[1].outcome).toEqual("rejected");
                expect(verdicts[1].mistakes.length).toEqual(1);
                expect(fold.getConfiguration().getOffset()).toEqual(1);
            }
        });

        it("rejects a publication based on a tree that is too old or not there yet", () => {
            const filler: LogRecord = { id: "filler", kind: "other", format: 1, writer: "test", body: {} };
            const fold = new ConfigurationFold();
            const entries = createLogEntries([
                createPublication(smallTree),
                ...Array.from({ length: basedOnWindow }, () => filler),
                createPublication([setShare], { basedOn: 0 }),
                createPublication([setShare], { basedOn: basedOnWindow + 9 }),
                createPublication([setShare], { basedOn: basedOnWindow + 1 }),
            ]);
            const outcomes = entries.map(entry => fold.apply(entry).outcome);
            expect(outcomes.slice(-3)).toEqual(["rejected", "rejected", "accepted"]);
        });

        // An older release knows no sections of pools and rejects them. Accepted here, a record of its format would part
        // this entry's tree from the older one's, and nobody would see it.
        it("judges a record by its own format, and writes what needs a newer one in that", () => {
            const orders: Change = { section: "pool.lm-pool", key: "orders", value: "true" };
            const older = foldAll([createPublication(smallTree), createPublication([orders], { basedOn: 1 })]);
            expect(older.verdicts.map(verdict => verdict.outcome)).toEqual(["accepted", "rejected"]);
            expect(older.fold.toSnapshot().format).toEqual(1);
            const record = createPublishRecord({ author: "a", reason: "", basedOn: 1, changes: [orders] }, "a");
            const newer = foldAll([createPublication(smallTree), record]);
            expect([record.format, newer.verdicts[1].outcome]).toEqual([2, "accepted"]);
            expect(newer.fold.toSnapshot().format).toEqual(2);
            expect(newer.fold.getConfiguration().getPool("lm-pool").orders).toEqual(true);
            const plain = createPublishRecord({ author: "a", reason: "", basedOn: 1, changes: [setShare] }, "a");
            expect(plain.format).toEqual(1);
        });

        // A newer release publishes a format that this one does not know. Passing over it would leave this entry with a
        // tree of its own that it calls current.
        it("stops at a record of a newer format and folds nothing after it", () => {
            const { fold, verdicts } = foldAll([
                createPublication(smallTree),
                createPublication([raisePriority], { basedOn: 1, format: treeFormat + 1 }),
                createPublication([setShare], { basedOn: 1 }),
            ]);
            expect(verdicts.map(verdict => verdict.outcome)).toEqual(["accepted", "unreadable", "unreadable"]);
            expect(fold.getOffset()).toEqual(1);
        });
    });

    describe("toSnapshot", () => {
        it("is refused by fromSnapshot when it is of another format", () => {
            const snapshot = { ...new ConfigurationFold().toSnapshot(), format: treeFormat + 1 };
            expect(ConfigurationFold.fromSnapshot(snapshot).isErr()).toEqual(true);
        });
    });

    describe("every reader", () => {
        // Operators race, records are repeated after lost acknowledgements, readers start from snapshots and read entries
        // again. Whatever the mixture, entries that read the same stream must hold the same tree.
        it("reaches the same state, from the start or from a snapshot, with entries delivered again", () => {
            fc.assert(fc.property(createStream(), fc.nat(), fc.nat(), (records, snapshotSeed, repeatSeed) => {
                const entries = createLogEntries(records);
                const whole = foldAll(records).fold;
                const covered = snapshotSeed % (entries.length + 1);
                const early = new ConfigurationFold();
                applyAll(early, entries.slice(0, covered));
                const snapshot = JSON.parse(JSON.stringify(early.toSnapshot()));
                const late = ConfigurationFold.fromSnapshot(snapshot)._unsafeUnwrap();
                const from = repeatSeed % (covered + 1);
                const offsets = applyAll(late, [...entries.slice(from), ...entries.slice(from)]);
                expect(late.toSnapshot()).toEqual(whole.toSnapshot());
                expect(offsets).toEqual([...offsets].sort((left, right) => left - right));
            }));
        });

        it("keeps a withdrawal until an author who has seen it lifts it", () => {
            fc.assert(fc.property(createStream(), records => {
                const fold = new ConfigurationFold();
                let withdrawnAt: number | undefined;
                for (const entry of createLogEntries(records)) {
                    const verdict = fold.apply(entry);
                    const { basedOn } = entry.record.body as { basedOn: number; };
                    const isWithdrawn = fold.getConfiguration().getVersion("plan@1")?.status === "withdrawn";
                    if (withdrawnAt !== undefined && !isWithdrawn) {
                        expect(basedOn > withdrawnAt).toEqual(true);
                    }
                    if (verdict.withdrawn.includes("plan@1")) {
                        expect(isWithdrawn || verdict.outcome === "accepted").toEqual(true);
                    }
                    const isNew = isWithdrawn && (withdrawnAt === undefined || verdict.withdrawn.includes("plan@1"));
                    withdrawnAt = !isWithdrawn ? undefined : isNew ? entry.offset : withdrawnAt;
                }
            }));
        });
    });
});

function applyAll(fold: ConfigurationFold, entries: readonly LogEntry[]): readonly number[] {
    return entries.map(entry => {
        fold.apply(entry);
        return fold.getOffset();
    });
}

/** Draws a stream of publications that race, contradict, repeat and break each other. */
function createStream(): fc.Arbitrary<readonly LogRecord[]> {
    const change = fc.constantFrom<Change>(
        raisePriority,
        lowerPriority,
        setShare,
        withdrawPlan,
        servePlan,
        { section: "workspace.bench", key: "*" },
        { section: "version.plan@1", key: "*" },
        { section: "workspace.bench", key: "priority" },
        { section: "workspace.bench", key: "priority", value: "wrong" },
        { section: "workspace.bench.application.desk", key: "target_quality", value: "0.7" },
        ...smallTree,
    );
    const publication = fc.record({
        changes: fc.array(change, { minLength: 1, maxLength: 4 }),
        behind: fc.nat(6),
        repeats: fc.nat(30),
    });
    return fc.array(publication, { minLength: 1, maxLength: 25 }).map(publications => {
        const records: LogRecord[] = [createPublication(smallTree)];
        for (const { changes, behind, repeats } of publications) {
            const earlier = records[records.length - repeats];
            const basedOn = Math.max(0, records.length - behind);
            records.push(repeats > 0 && earlier !== undefined ? earlier : createPublication(changes, { basedOn }));
        }
        return records;
    });
}
