import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type BillCopyTarget, BillReplicaStore, BillWriter, Ledger } from "../../src/bills/index.js";
import { RandomSource, systemClock } from "../../src/common/index.js";
import { maxRecordBytes } from "../../src/log/index.js";
import { createBill, createCopyTarget } from "../fixtures/bills.js";
import { createJournal } from "../fixtures/journals.js";
import { MemoryLog } from "../fixtures/memoryLog.js";
import { waitUntil } from "../fixtures/waiting.js";

const writers: BillWriter[] = [];

function createWriter(
    log: MemoryLog,
    targets: readonly BillCopyTarget[],
    options: { readonly maxBills?: number; readonly copyTimeoutMilliseconds?: number; } = {},
): BillWriter {
    const { journal } = createJournal("entry-a");
    const writer = new BillWriter({
        append: log.append,
        getCopyTargets: () => targets,
        clock: systemClock,
        journal,
        writer: "entry-a",
        getIntervalMilliseconds: () => 5,
        ...options,
    });
    writers.push(writer);
    return writer;
}

function createReplicaStore(log: MemoryLog, hasDeparted = () => false): BillReplicaStore {
    const { journal } = createJournal("keeper");
    return new BillReplicaStore({ append: log.append, clock: systemClock, journal, writer: "keeper", hasDeparted });
}

function readLedger(log: MemoryLog): Ledger {
    const ledger = new Ledger({ journal: createJournal("ledger").journal });
    for (const entry of log.getEntries("bills")) {
        ledger.apply(entry);
    }
    return ledger;
}

describe("BillWriter", () => {
    afterEach(() => {
        for (const writer of writers.splice(0)) {
            writer.stop();
        }
    });

    describe("add", () => {
        it("resolves once a peer keeps a copy, before the log has the bill", async () => {
            const log = new MemoryLog();
            const keeper = createReplicaStore(log);
            const writer = createWriter(log, [createCopyTarget("b", keeper)]);
            expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
            expect(keeper.getSize()).toEqual(1);
            expect(log.getEntries("bills").length).toEqual(0);
        });

        it("asks the next peer when the first does not answer or has no room", async () => {
            const log = new MemoryLog();
            const { journal } = createJournal();
            const options = {
                append: log.append,
                clock: systemClock,
                journal,
                writer: "full",
                hasDeparted: () => false,
            };
            const full = new BillReplicaStore({ ...options, maxBills: 0 });
            const keeper = createReplicaStore(log);
            const writer = createWriter(log, [
                createCopyTarget("cut", undefined),
                createCopyTarget("full", full),
                createCopyTarget("b", keeper),
            ]);
            expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
            expect(keeper.getSize()).toEqual(1);
        });

        // No other VM can be reached. The bill is not safe before the log has it, so the answer's last byte waits for
        // the append.
        it("waits for the log when no peer takes a copy", async () => {
            const log = new MemoryLog();
            const writer = createWriter(log, []);
            expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
            expect(log.getEntries("bills").length).toEqual(1);
        });

        // Neither peers nor the log answer. The caller must not be told that its bill is safe.
        it("fails in time when neither a peer nor the log takes the bill, and keeps it", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const writer = createWriter(log, [], { copyTimeoutMilliseconds: 30 });
            expect((await writer.add(createBill("r1"))).isErr()).toEqual(true);
            log.decideOutcome = () => "taken";
            expect((await writer.flush(1_000)).isOk()).toEqual(true);
            expect(readLedger(log).getSize()).toEqual(1);
        });

        it("takes a second bill of the same request for the same", async () => {
            const log = new MemoryLog();
            const keeper = createReplicaStore(log);
            const writer = createWriter(log, [createCopyTarget("b", keeper)]);
            const added = await Promise.all([writer.add(createBill("r1")), writer.add(createBill("r1"))]);
            expect(added.map(result => result.isOk())).toEqual([true, true]);
            expect(writer.getSize()).toEqual(1);
            expect(keeper.getSize()).toEqual(1);
        });
    });

    describe("start", () => {
        it("appends many bills in a record and tells the keeper", async () => {
            const log = new MemoryLog();
            const keeper = createReplicaStore(log);
            const writer = createWriter(log, [createCopyTarget("b", keeper)]);
            await Promise.all(Array.from({ length: 300 }, (...[, index]) => writer.add(createBill(`r${index}`))));
            writer.start();
            await waitUntil(() => writer.getSize() === 0, "all bills are appended");
            expect(log.getEntries("bills").length).toEqual(1);
            expect(keeper.getSize()).toEqual(0);
            expect(readLedger(log).getSize()).toEqual(300);
        });

        // Names in other scripts take three bytes a character; a record past the log's bound would be refused for ever.
        it("keeps records below the log's bound, in bytes", async () => {
            const log = new MemoryLog();
            const writer = createWriter(log, [createCopyTarget("b", createReplicaStore(log))]);
            const application = "\u6d88".repeat(3_000);
            for (let index = 0; index < 60; index += 1) {
                await writer.add(createBill(`r${index}`, { application }));
            }
            expect((await writer.flush(1_000)).isOk()).toEqual(true);
            for (const { record } of log.getEntries("bills")) {
                expect(Buffer.byteLength(JSON.stringify(record)) <= maxRecordBytes).toEqual(true);
            }
            expect(readLedger(log).getSize()).toEqual(60);
        });

        // The log is away for a while, loses answers and refuses. Bills wait, and each must be there once at the end.
        it("keeps bills over outages and lost acknowledgements", async () => {
            for (let seed = 1; seed <= 10; seed += 1) {
                const random = new RandomSource(seed);
                const log = new MemoryLog();
                const fates = ["taken", "lost", "dropped", "dropped", "overloaded"] as const;
                log.decideOutcome = () => fates[random.nextInteger(fates.length)];
                const writer = createWriter(log, [createCopyTarget("b", createReplicaStore(log))]);
                writer.start();
                for (let index = 0; index < 50; index += 1) {
                    await writer.add(createBill(`r${index}`));
                }
                await waitUntil(() => writer.getSize() === 0, "all bills are appended");
                expect(readLedger(log).getSize()).toEqual(50);
                writer.stop();
            }
        });
    });

    describe("isFull", () => {
        it("refuses new work before the buffer ends, and still takes in what is answered", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const writer = createWriter(log, [createCopyTarget("b", createReplicaStore(log))], { maxBills: 10 });
            for (let index = 0; index < 7; index += 1) {
                await writer.add(createBill(`r${index}`));
            }
            expect(writer.isFull()).toEqual(false);
            for (let index = 7; index < 12; index += 1) {
                expect((await writer.add(createBill(`r${index}`))).isOk()).toEqual(true);
            }
            expect(writer.isFull()).toEqual(true);
            expect(writer.getSize()).toEqual(12);
        });
    });

    describe("flush", () => {
        // An entry is told to stop while the log is away, and the only peer that keeps its bills dies later. A second
        // keeper must have them, or the depot is never billed.
        it("leaves bills to two peers when the log does not answer", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const keepers = [createReplicaStore(log), createReplicaStore(log)];
            const writer = createWriter(log, keepers.map((keeper, index) => createCopyTarget(`k${index}`, keeper)));
            await writer.add(createBill("r1"));
            expect((await writer.flush(10)).isOk()).toEqual(true);
            expect(keepers.map(keeper => keeper.getSize())).toEqual([1, 1]);
        });

        it("fails when a bill is nowhere else", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const writer = createWriter(log, [], { copyTimeoutMilliseconds: 10 });
            await writer.add(createBill("r1"));
            expect((await writer.flush(10)).isErr()).toEqual(true);
        });
    });
});
