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
    readonly gone: Set<string>;
    readonly keeper: BillReplicaStore;
}

function createSetup(transferTarget?: BillReplicaStore): Setup {
    const log = new MemoryLog();
    const clock = new ManualClock();
    const gone = new Set<string>();
    const keeper = new BillReplicaStore({
        append: log.append,
        clock,
        journal: createJournal("keeper").journal,
        writer: "keeper",
        hasDeparted: origin => gone.has(origin),
        confirmTimeoutMilliseconds: 1_000,
        getCopyTargets: () => transferTarget === undefined ? [] : [createCopyTarget("next", transferTarget, "keeper")],
    });
    return { log, clock, gone, keeper };
}

function retainBills(store: BillReplicaStore, ...requestIds: string[]): readonly string[] {
    return store.retain("entry-a", requestIds.map(id => JSON.stringify(createBill(id))), []);
}

describe("BillKeeper", () => {
    describe("keep", () => {
        it("names what it keeps and leaves out what it cannot read", () => {
            const { keeper } = createSetup();
            expect(keeper.retain("entry-a", [JSON.stringify(createBill("r1")), "{", "{}"], [])).toEqual(["r1"]);
        });

        it("drops copies only when told that they are appended", async () => {
            const { keeper, log } = createSetup();
            retainBills(keeper, "r1", "r2");
            await keeper.appendDue();
            expect(keeper.getSize()).toEqual(2);
            keeper.retain("entry-a", [], ["r1"]);
            expect(keeper.getSize()).toEqual(1);
            expect(log.getEntries("bills").length).toEqual(0);
        });
    });

    describe("appendDue", () => {
        // The log has been away for half an hour and an entry keeps tens of thousands of copies. If each of them looked
        // its origin up among all members every second, the entry's loop would stand still, and so would every answer.
        it("looks an origin up once, however many of its bills are kept", async () => {
            const lookUps: string[] = [];
            const keeper = new BillReplicaStore({
                append: new MemoryLog().append,
                clock: new ManualClock(),
                journal: createJournal("keeper").journal,
                writer: "keeper",
                hasDeparted: origin => {
                    lookUps.push(origin);
                    return false;
                },
            });
            retainBills(keeper, ...Array.from({ length: 500 }, (_, index) => `r${index}`));
            await keeper.appendDue();
            expect(lookUps).toEqual(["entry-a"]);
        });

        // The entry is killed between the last byte of an answer and its append. The caller has the plan and has paid
        // nothing; the copy's keeper must write the bill.
        it("appends the bills of an entry that died before it could", async () => {
            const { keeper, log, gone } = createSetup();
            const killed = new BillWriter({
                append: log.append,
                getCopyTargets: () => [createCopyTarget("keeper", keeper)],
                clock: systemClock,
                journal: createJournal("entry-a").journal,
                writer: "entry-a",
            });
            await killed.add(createBill("r1"));
            killed.stop();
            gone.add("entry-a");
            await keeper.appendDue();
            const ledger = new Ledger({ journal: createJournal().journal });
            for (const entry of log.getEntries("bills")) {
                ledger.apply(entry);
            }
            expect(ledger.getSize()).toEqual(1);
            expect(keeper.getSize()).toEqual(0);
        });

        // The origin lives but its word that the bill is appended was lost, or it never managed to append.
        it("appends what its origin did not confirm in time", async () => {
            const { keeper, log, clock } = createSetup();
            retainBills(keeper, "r1");
            clock.advance(1_001);
            await keeper.appendDue();
            expect(log.getEntries("bills").length).toEqual(1);
        });

        // The log is away when the origin has died. The copy may be the last one.
        it("keeps copies until the log confirms them", async () => {
            for (const fate of ["dropped", "lost", "overloaded"] as const) {
                const { keeper, log, gone } = createSetup();
                retainBills(keeper, "r1");
                gone.add("entry-a");
                log.decideOutcome = () => fate;
                await keeper.appendDue();
                expect(keeper.getSize()).toEqual(1);
            }
        });
    });

    describe("flush", () => {
        // The keeper is replaced while the log is away and the origin is dead: without handing the copy on, the bill
        // would be gone.
        it("hands copies to another keeper, under their own origin", async () => {
            const next = createSetup();
            const { keeper, log } = createSetup(next.keeper);
            retainBills(keeper, "r1");
            log.decideOutcome = () => "dropped";
            expect(await keeper.flush(0)).toEqual(0);
            next.gone.add("entry-a");
            await next.keeper.appendDue();
            expect(next.log.getEntries("bills").length).toEqual(1);
        });

        it("tells how many copies no one took", async () => {
            const { keeper, log } = createSetup();
            retainBills(keeper, "r1", "r2");
            log.decideOutcome = () => "dropped";
            expect(await keeper.flush(0)).toEqual(2);
        });
    });
});
