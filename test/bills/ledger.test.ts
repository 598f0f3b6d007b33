import { expect } from "earl";
import fc from "fast-check";
import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { type Bill, Ledger, LedgerProgram, type LedgerReport } from "../../src/bills/index.js";
import type { LogEntry } from "../../src/log/record.js";
import { createBill } from "../fixtures/bills.js";
import { createJournal } from "../fixtures/journals.js";
import { MemoryLog } from "../fixtures/memoryLog.js";
import { waitUntil } from "../fixtures/waiting.js";

const folder = mkdtempSync(join(tmpdir(), "ledger-test-"));
const host = "127.50.3.1";
let files = 0;

function createPath(): string {
    files += 1;
    return join(folder, `ledger-${files}.jsonl`);
}

function createRecord(id: string, bills: readonly Bill[]) {
    return { id, kind: "bills", format: 1, writer: "test", body: { bills } };
}

function createEntry(offset: number, bills: readonly Bill[]): LogEntry {
    return { offset, time: 0, record: createRecord(`record-${offset}`, bills) };
}

function createProgram(log: MemoryLog, out?: string): LedgerProgram {
    return new LedgerProgram({ follow: log.follow, journal: createJournal().journal, out });
}

/** Runs a ledger over all records of the log, and stops it. */
async function run(log: MemoryLog, out: string): Promise<LedgerReport> {
    const program = createProgram(log, out);
    await program.start();
    await waitUntil(() => program.getReport().next === log.getEntries("bills").length, "the stream is read");
    await program.stop();
    return program.getReport();
}

describe("Ledger", () => {
    describe("apply", () => {
        it("counts the first bill of a request and reports repeats that differ", () => {
            const { journal, lines } = createJournal();
            const ledger = new Ledger({ journal });
            ledger.apply(createEntry(0, [createBill("r1"), createBill("r2", { workspace: "dalisay", total: 2 })]));
            ledger.apply(createEntry(1, [createBill("r1"), createBill("r1", { total: 9 })]));
            expect(ledger.getTotals().map(({ workspace, total }) => [workspace, total])).toEqual([
                ["agenzia", 0.5],
                ["dalisay", 2],
            ]);
            expect(ledger.getCounts()).toEqual({ repeats: 2, conflicts: 1, gaps: 0 });
            expect(lines.map(line => line.name)).toEqual(["bill-conflict"]);
        });

        it("returns one bill for each request with any repeats and any batches", () => {
            const records = fc.array(fc.array(fc.nat(20), { maxLength: 6 }), { maxLength: 20 });
            fc.assert(fc.property(records, all => {
                const ledger = new Ledger({ journal: createJournal().journal });
                const written: string[] = [];
                for (const [offset, ids] of all.entries()) {
                    const entry = createEntry(offset, ids.map(id => createBill(`r${id}`)));
                    written.push(...ledger.apply(entry).map(bill => bill.requestId));
                    written.push(...ledger.apply(entry).map(bill => bill.requestId));
                }
                const expectedIds = new Set(all.flat().map(id => `r${id}`));
                expect(written.length).toEqual(expectedIds.size);
                expect(ledger.getCounts().repeats).toEqual(all.flat().length - expectedIds.size);
                expect(new Set(written)).toEqual(expectedIds);
                expect(ledger.getTotals().map(total => total.requests)).toEqual(
                    expectedIds.size === 0 ? [] : [expectedIds.size],
                );
            }));
        });
    });

    describe("handleGap", () => {
        // Guards against totals that are too low without notice: the ledger was down for longer than the retention of
        // the log, and its report must show the gap.
        it("reports missing bills", async () => {
            const log = new MemoryLog();
            log.put("bills", createRecord("a", [createBill("r1")]));
            log.put("bills", createRecord("b", [createBill("r2")]));
            log.expire("bills", 1);
            const report = await run(log, createPath());
            expect([report.requests, report.gaps]).toEqual([1, 1]);
        });
    });
});

describe("LedgerProgram", () => {
    const running: LedgerProgram[] = [];

    after(async () => {
        await Promise.all(running.map(program => program.stop()));
        rmSync(folder, { recursive: true, force: true });
    });

    describe("start", () => {
        // Guards against lost and repeated bills: the ledger is killed at any byte of its output, between two bills of
        // one record or within a line, and restarted.
        it("writes the same file after it was killed at any byte and restarted", async () => {
            const log = new MemoryLog();
            for (let index = 0; index < 6; index += 1) {
                const ids = [index, index + 1, index + 2];
                log.put("bills", createRecord(`record-${index}`, ids.map(id => createBill(`r${id}`))));
            }
            const referencePath = createPath();
            const report = await run(log, referencePath);
            const expected = readFileSync(referencePath);
            for (let length = 0; length <= expected.length; length += 97) {
                const path = createPath();
                writeFileSync(path, expected);
                truncateSync(path, length);
                const restarted = await run(log, path);
                expect(readFileSync(path).toString()).toEqual(expected.toString());
                expect(restarted.workspaces).toEqual(report.workspaces);
            }
        });

        it("continues from its file when the earlier records have expired", async () => {
            const log = new MemoryLog();
            const path = createPath();
            log.put("bills", createRecord("a", [createBill("r1")]));
            await run(log, path);
            log.put("bills", createRecord("b", [createBill("r1"), createBill("r2")]));
            log.expire("bills", 1);
            const report = await run(log, path);
            expect(report.requests).toEqual(2);
            expect(readFileSync(path).toString().trim().split("\n").length).toEqual(2);
        });

        // Guards against a repeated bill: an entry is paused for two days and then appends bills that the replica
        // holder appended long ago. Their requests have expired from the memory of the ledger.
        it("does not bill a request again that has expired from memory", async () => {
            const day = 86_400_000;
            const log = new MemoryLog();
            const path = createPath();
            log.put("bills", createRecord("a", [createBill("r1")]));
            log.time = 2 * day;
            log.put("bills", createRecord("b", [createBill("r2", { answeredAt: 2 * day })]));
            log.put("bills", createRecord("c", [createBill("r1"), createBill("late")]));
            const report = await run(log, path);
            expect([report.requests, report.repeats]).toEqual([3, 1]);
            expect((await run(log, path)).requests).toEqual(3);
        });

        it("serves the bills over HTTP", async () => {
            const log = new MemoryLog();
            log.put("bills", createRecord("a", [createBill("r1"), createBill("r1")]));
            const port = 18_400;
            const program = new LedgerProgram({
                follow: log.follow,
                journal: createJournal().journal,
                listen: { host, port },
            });
            running.push(program);
            await program.start();
            await waitUntil(() => program.getReport().requests === 1, "the stream is read");
            const answer = await (await fetch(`http://${host}:${port}/bills`)).json() as { bills: Bill[]; };
            expect(answer.bills.map(bill => bill.requestId)).toEqual(["r1"]);
        });
    });
});
