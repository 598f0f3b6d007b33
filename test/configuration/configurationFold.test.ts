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
): { readonly fold: ConfigurationFold; readonly results: readonly RecordResult[]; } {
    const fold = new ConfigurationFold();
    const results = createLogEntries(records).map(entry => fold.apply(entry));
    return { fold, results };
}

function getOutcomes(records: readonly LogRecord[]): readonly string[] {
    return foldAll(records).results.map(result => result.outcome);
}

const raisePriority: Change = { section: "workspace.bench", key: "priority", value: "1" };
const lowerPriority: Change = { section: "workspace.bench", key: "priority", value: "8" };
const setShare: Change = { section: "workspace.bench", key: "share", value: "3" };
const withdrawPlan: Change = { section: "version.plan@1", key: "status", value: "withdrawn" };
const servePlan: Change = { section: "version.plan@1", key: "status", value: "serving" };

describe("ConfigurationFold", () => {
    describe("apply", () => {
        // Two operators change the same key concurrently. If readers decided differently, some entries would apply one
        // operator's value and the others the other operator's value.
        it("accepts the first of two concurrent changes and names it in the rejection of the second", () => {
            const { results } = foldAll([
                createPublication(smallTree),
                createPublication([raisePriority], { basedOn: 1, author: "bruno" }),
                createPublication([lowerPriority], { basedOn: 1, author: "carla" }),
            ]);
            expect(results.map(result => result.outcome)).toEqual(["accepted", "accepted", "rejected"]);
            expect(results[2].beatenBy).toEqual({
                offset: 1,
                author: "bruno",
                section: "workspace.bench",
                key: "priority",
            });
        });

        it("accepts concurrent changes of different keys", () => {
            const records = [
                createPublication(smallTree),
                createPublication([raisePriority], { basedOn: 1 }),
                createPublication([setShare], { basedOn: 1 }),
            ];
            expect(getOutcomes(records)).toEqual(["accepted", "accepted", "accepted"]);
        });

        // One operator removes a workspace while another edits it. The edit must not restore a part of the workspace.
        it("rejects a change below a concurrently removed section, and the removal of a concurrently changed section", () => {
            const removal: Change = { section: "workspace.bench", key: "*" };
            const edit: Change = { section: "workspace.bench.application.desk", key: "priority", value: "3" };
            const base = createPublication(smallTree);
            const late = { basedOn: 1 };
            expect(getOutcomes([base, createPublication([removal], late), createPublication([edit], late)]).at(-1))
                .toEqual("rejected");
            expect(getOutcomes([base, createPublication([edit], late), createPublication([removal], late)]).at(-1))
                .toEqual("rejected");
            // The workspace was added again, so that only the removal shows that the edit is out of date.
            const again = createPublication([{ section: "workspace.bench", key: "priority", value: "4" }], {
                basedOn: 2,
            });
            expect(
                getOutcomes([base, createPublication([removal], late), again, createPublication([edit], late)]).at(-1),
            )
                .toEqual("rejected");
        });

        // An operator edits the version's status while another withdraws the version because its answers are wrong. If the
        // withdrawal were rejected, callers would continue to receive these answers.
        it("never rejects a withdrawal because of a concurrent change", () => {
            const { fold, results } = foldAll([
                createPublication(smallTree),
                createPublication([{ ...servePlan, value: "draining" }], { basedOn: 1 }),
                createPublication([withdrawPlan], { basedOn: 1 }),
                createPublication([servePlan], { basedOn: 2 }),
            ]);
            expect(results.map(result => result.outcome)).toEqual(["accepted", "accepted", "accepted", "rejected"]);
            expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("withdrawn");
        });

        it("puts a withdrawal in force although the rest of its record is superseded or invalid", () => {
            for (const other of [lowerPriority, { ...raisePriority, value: "urgent" }]) {
                const { fold, results } = foldAll([
                    createPublication(smallTree),
                    createPublication([raisePriority], { basedOn: 1 }),
                    createPublication([withdrawPlan, other], { basedOn: 1 }),
                ]);
                expect(results[2].outcome).toEqual("rejected");
                expect(results[2].withdrawn).toEqual(["plan@1"]);
                expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("withdrawn");
                expect(fold.getConfiguration().getEffective({ workspace: "bench" })._unsafeUnwrap().priority).toEqual(
                    1,
                );
            }
        });

        // A version's section is removed, the version is withdrawn, and an author who has not read the withdrawal adds the
        // section again. If this restored the version, callers would receive its answers again.
        it("does not let an author who has not read a withdrawal restore the version", () => {
            const { fold } = foldAll([
                createPublication(smallTree),
                createPublication([{ section: "version.plan@1", key: "*" }], { basedOn: 1 }),
                createPublication([withdrawPlan], { basedOn: 1 }),
                createPublication(smallTree.slice(0, 3), { basedOn: 2 }),
            ]);
            expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("withdrawn");
        });

        it("lets an author who has read a withdrawal lift it", () => {
            const { fold } = foldAll([
                createPublication(smallTree),
                createPublication([withdrawPlan], { basedOn: 1 }),
                createPublication([servePlan], { basedOn: 2 }),
            ]);
            expect(fold.getConfiguration().getVersionOrThrow("plan@1").status).toEqual("serving");
        });

        // A publication was rejected because its version did not exist yet, and its repeat arrives after the version was
        // added. The rejection was reported to the author, so the repeat must not come into force unnoticed.
        it("ignores the repeat of a rejected record that would now be valid", () => {
            const early = createPublication([{ section: "workspace.bench", key: "allowed", value: "new@1" }], {
                basedOn: 1,
            });
            const { fold, results } = foldAll([
                createPublication(smallTree),
                early,
                createPublication([
                    { section: "version.new@1", key: "input_price", value: "1" },
                    { section: "version.new@1", key: "output_price", value: "1" },
                ], { basedOn: 2 }),
                early,
            ]);
            expect(results.map(result => result.outcome)).toEqual(["accepted", "rejected", "accepted", "repeated"]);
            expect(fold.getConfiguration().getTree().get("workspace.bench")?.has("allowed")).toEqual(false);
        });

        it("rejects a record with any error as a whole", () => {
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
                const { fold, results } = foldAll(records);
                expect(results[1].outcome).toEqual("rejected");
                expect(results[1].mistakes.length).toEqual(1);
                expect(fold.getConfiguration().getOffset()).toEqual(1);
            }
        });

        it("rejects a publication based on a tree that is too old or does not exist yet", () => {
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

        // An older release does not support pool sections and rejects them. If this release accepted them in a record of the
        // older format, its tree would diverge from that of older entries, and nothing would report it.
        it("validates a record by its own format, and writes a record in a newer format only if its sections require it", () => {
            const orders: Change = { section: "pool.lm-pool", key: "orders", value: "true" };
            const older = foldAll([createPublication(smallTree), createPublication([orders], { basedOn: 1 })]);
            expect(older.results.map(result => result.outcome)).toEqual(["accepted", "rejected"]);
            expect(older.fold.toSnapshot().format).toEqual(1);
            const record = createPublishRecord({ author: "a", reason: "", basedOn: 1, changes: [orders] }, "a");
            const newer = foldAll([createPublication(smallTree), record]);
            expect([record.format, newer.results[1].outcome]).toEqual([2, "accepted"]);
            expect(newer.fold.toSnapshot().format).toEqual(2);
            expect(newer.fold.getConfiguration().getPool("lm-pool").orders).toEqual(true);
            const plain = createPublishRecord({ author: "a", reason: "", basedOn: 1, changes: [setShare] }, "a");
            expect(plain.format).toEqual(1);
        });

        // A newer release publishes a format that this release does not support. If the record were skipped, this entry would
        // report a diverged tree as up to date.
        it("stops at a record of a newer format and folds no later record", () => {
            const { fold, results } = foldAll([
                createPublication(smallTree),
                createPublication([raisePriority], { basedOn: 1, format: treeFormat + 1 }),
                createPublication([setShare], { basedOn: 1 }),
            ]);
            expect(results.map(result => result.outcome)).toEqual(["accepted", "unreadable", "unreadable"]);
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
        // Operators publish concurrently, records are repeated after lost acknowledgements, and readers start from snapshots
        // and receive entries again. Entries that read the same stream must still have the same tree; otherwise callers get
        // different settings at different entries.
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

        it("keeps a withdrawal until an author who has read it lifts it", () => {
            fc.assert(fc.property(createStream(), records => {
                const fold = new ConfigurationFold();
                let withdrawnAt: number | undefined;
                for (const entry of createLogEntries(records)) {
                    const result = fold.apply(entry);
                    const { basedOn } = entry.record.body as { basedOn: number; };
                    const isWithdrawn = fold.getConfiguration().getVersion("plan@1")?.status === "withdrawn";
                    if (withdrawnAt !== undefined && !isWithdrawn) {
                        expect(basedOn > withdrawnAt).toEqual(true);
                    }
                    if (result.withdrawn.includes("plan@1")) {
                        expect(isWithdrawn || result.outcome === "accepted").toEqual(true);
                    }
                    const isNew = isWithdrawn && (withdrawnAt === undefined || result.withdrawn.includes("plan@1"));
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

/** Generates a stream of publications that are concurrent, conflicting, repeated or invalid. */
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
