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
    const { journal } = createJournal("holder");
    return new BillReplicaStore({ append: log.append, clock: systemClock, journal, writer: "holder", hasDeparted });
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
        it("resolves once a peer holds a replica, before the log has the bill", async () => {
            const log = new MemoryLog();
            const replicaStore = createReplicaStore(log);
            const writer = createWriter(log, [createCopyTarget("b", replicaStore)]);
            expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
            expect(replicaStore.getSize()).toEqual(1);
            expect(log.getEntries("bills").length).toEqual(0);
        });

        it("calls the next peer when the first one does not answer or has no capacity", async () => {
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
            const replicaStore = createReplicaStore(log);
            const writer = createWriter(log, [
                createCopyTarget("cut", undefined),
                createCopyTarget("full", full),
                createCopyTarget("b", replicaStore),
            ]);
            expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
            expect(replicaStore.getSize()).toEqual(1);
        });

        // Guards against a lost bill: no other VM is reachable, so the last byte of the answer must wait for the
        // append.
        it("waits for the log when no peer stores a replica", async () => {
            const log = new MemoryLog();
            const writer = createWriter(log, []);
            expect((await writer.add(createBill("r1"))).isOk()).toEqual(true);
            expect(log.getEntries("bills").length).toEqual(1);
        });

        // Guards against a wrong success: neither peers nor the log answer, so the bill must not be reported as safe.
        it("fails at its timeout when neither a peer nor the log accepts the bill, and retains it", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const writer = createWriter(log, [], { copyTimeoutMilliseconds: 30 });
            expect((await writer.add(createBill("r1"))).isErr()).toEqual(true);
            log.decideOutcome = () => "taken";
            expect((await writer.flush(1_000)).isOk()).toEqual(true);
            expect(readLedger(log).getSize()).toEqual(1);
        });

        it("treats another bill of the same request as the same bill", async () => {
            const log = new MemoryLog();
            const replicaStore = createReplicaStore(log);
            const writer = createWriter(log, [createCopyTarget("b", replicaStore)]);
            const added = await Promise.all([writer.add(createBill("r1")), writer.add(createBill("r1"))]);
            expect(added.map(result => result.isOk())).toEqual([true, true]);
            expect(writer.getSize()).toEqual(1);
            expect(replicaStore.getSize()).toEqual(1);
        });
    });

    describe("start", () => {
        it("appends many bills in one record and notifies the replica holder", async () => {
            const log = new MemoryLog();
            const replicaStore = createReplicaStore(log);
            const writer = createWriter(log, [createCopyTarget("b", replicaStore)]);
            await Promise.all(Array.from({ length: 300 }, (...[, index]) => writer.add(createBill(`r${index}`))));
            writer.start();
            await waitUntil(() => writer.getSize() === 0, "all bills are appended");
            expect(log.getEntries("bills").length).toEqual(1);
            expect(replicaStore.getSize()).toEqual(0);
            expect(readLedger(log).getSize()).toEqual(300);
        });

        // Guards against bills that are rejected for ever: characters of some scripts take three bytes, so records
        // limited by characters could exceed the limit of the log.
        it("keeps records below the log's limit in bytes", async () => {
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

        // Guards against lost and repeated bills: the log is unavailable for a while, loses acknowledgements and
        // rejects appends. Each bill must be counted once in the end.
        it("retains bills over outages and lost acknowledgements", async () => {
            for (let seed = 1; seed <= 10; seed += 1) {
                const random = new RandomSource(seed);
                const log = new MemoryLog();
                const outcomes = ["taken", "lost", "dropped", "dropped", "overloaded"] as const;
                log.decideOutcome = () => outcomes[random.nextInteger(outcomes.length)];
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
        it("refuses new work before the buffer is full, and still accepts bills of answered requests", async () => {
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
        // Guards against a lost bill: an entry stops while the log is unavailable, and a peer that holds its bills dies
        // later. A second peer must hold them too.
        it("replicates bills to two peers when the log does not answer", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const replicaStores = [createReplicaStore(log), createReplicaStore(log)];
            const writer = createWriter(
                log,
                replicaStores.map((replicaStore, index) => createCopyTarget(`k${index}`, replicaStore)),
            );
            await writer.add(createBill("r1"));
            expect((await writer.flush(10)).isOk()).toEqual(true);
            expect(replicaStores.map(replicaStore => replicaStore.getSize())).toEqual([1, 1]);
        });

        it("fails when a bill is neither in the log nor held by a peer", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "dropped";
            const writer = createWriter(log, [], { copyTimeoutMilliseconds: 10 });
            await writer.add(createBill("r1"));
            expect((await writer.flush(10)).isErr()).toEqual(true);
        });
    });
});
