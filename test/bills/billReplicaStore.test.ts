import { expect } from "earl";
import { describe, it } from "node:test";
import { BillReplicaStore, BillWriter, Ledger } from "../../src/bills/index.js";
import { ManualClock, systemClock } from "../../src/common/index.js";
import { createBill, createCopyTarget } from "../fixtures/bills.js";
import { createJournal } from "../fixtures/journals.js";
import { MemoryLog } from "../fixtures/memoryLog.js";

interface Setup {
    readonly log: MemoryLog;
    readonly clock: ManualClock;
    readonly departed: Set<string>;
    readonly replicaStore: BillReplicaStore;
}

function createSetup(transferTarget?: BillReplicaStore): Setup {
    const log = new MemoryLog();
    const clock = new ManualClock();
    const departed = new Set<string>();
    const replicaStore = new BillReplicaStore({
        append: log.append,
        clock,
        journal: createJournal("holder").journal,
        writer: "holder",
        hasDeparted: origin => departed.has(origin),
        confirmTimeoutMilliseconds: 1_000,
        getCopyTargets: () => transferTarget === undefined ? [] : [createCopyTarget("next", transferTarget, "holder")],
    });
    return { log, clock, departed, replicaStore };
}

function retainBills(store: BillReplicaStore, ...requestIds: string[]): readonly string[] {
    return store.retain("entry-a", requestIds.map(id => JSON.stringify(createBill(id))), []);
}

describe("BillReplicaStore", () => {
    describe("retain", () => {
        it("returns the bills that it stores, without those that cannot be parsed", () => {
            const { replicaStore } = createSetup();
            expect(replicaStore.retain("entry-a", [JSON.stringify(createBill("r1")), "{", "{}"], [])).toEqual(["r1"]);
        });

        it("removes replicas only after they were reported as appended", async () => {
            const { replicaStore, log } = createSetup();
            retainBills(replicaStore, "r1", "r2");
            await replicaStore.appendDue();
            expect(replicaStore.getSize()).toEqual(2);
            replicaStore.retain("entry-a", [], ["r1"]);
            expect(replicaStore.getSize()).toEqual(1);
            expect(log.getEntries("bills").length).toEqual(0);
        });
    });

    describe("appendDue", () => {
        // Guards against a blocked event loop: the log has been unavailable for half an hour, and an entry holds tens
        // of thousands of replicas. If each of them looked up its origin among all members every second, the entry
        // would stop answering requests.
        it("looks up an origin once for all of its bills", async () => {
            const lookUps: string[] = [];
            const replicaStore = new BillReplicaStore({
                append: new MemoryLog().append,
                clock: new ManualClock(),
                journal: createJournal("holder").journal,
                writer: "holder",
                hasDeparted: origin => {
                    lookUps.push(origin);
                    return false;
                },
            });
            retainBills(replicaStore, ...Array.from({ length: 500 }, (_, index) => `r${index}`));
            await replicaStore.appendDue();
            expect(lookUps).toEqual(["entry-a"]);
        });

        // Guards against a lost bill: an entry is killed between the last byte of an answer and its append. The caller
        // has its answer, and the replica holder must write the bill.
        it("appends the bills of an entry that died before its append", async () => {
            const { replicaStore, log, departed } = createSetup();
            const killed = new BillWriter({
                append: log.append,
                getCopyTargets: () => [createCopyTarget("holder", replicaStore)],
                clock: systemClock,
                journal: createJournal("entry-a").journal,
                writer: "entry-a",
            });
            await killed.add(createBill("r1"));
            killed.stop();
            departed.add("entry-a");
            await replicaStore.appendDue();
            const ledger = new Ledger({ journal: createJournal().journal });
            for (const entry of log.getEntries("bills")) {
                ledger.apply(entry);
            }
            expect(ledger.getSize()).toEqual(1);
            expect(replicaStore.getSize()).toEqual(0);
        });

        // Guards against a lost bill: the origin is alive, but its report of the append was lost, or it never appended
        // the bill.
        it("appends bills that their origin did not confirm in time", async () => {
            const { replicaStore, log, clock } = createSetup();
            retainBills(replicaStore, "r1");
            clock.advance(1_001);
            await replicaStore.appendDue();
            expect(log.getEntries("bills").length).toEqual(1);
        });

        // Guards against a lost bill: the log is unavailable, the origin has died, and the replica may be the last one.
        it("retains replicas until the log confirms them", async () => {
            for (const outcome of ["dropped", "lost", "overloaded"] as const) {
                const { replicaStore, log, departed } = createSetup();
                retainBills(replicaStore, "r1");
                departed.add("entry-a");
                log.decideOutcome = () => outcome;
                await replicaStore.appendDue();
                expect(replicaStore.getSize()).toEqual(1);
            }
        });
    });

    describe("flush", () => {
        // Guards against a lost bill: the replica holder is replaced while the log is unavailable and the origin is
        // dead, so its replica must be transferred.
        it("transfers replicas to another store under their own origin", async () => {
            const next = createSetup();
            const { replicaStore, log } = createSetup(next.replicaStore);
            retainBills(replicaStore, "r1");
            log.decideOutcome = () => "dropped";
            expect(await replicaStore.flush(0)).toEqual(0);
            next.departed.add("entry-a");
            await next.replicaStore.appendDue();
            expect(next.log.getEntries("bills").length).toEqual(1);
        });

        it("returns the number of replicas that neither the log nor a peer accepted", async () => {
            const { replicaStore, log } = createSetup();
            retainBills(replicaStore, "r1", "r2");
            log.decideOutcome = () => "dropped";
            expect(await replicaStore.flush(0)).toEqual(2);
        });
    });
});
