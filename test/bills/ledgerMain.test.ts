import { expect } from "earl";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { type Bill, BillReplicaStore, BillWriter, type LedgerReport } from "../../src/bills/index.js";
import { systemClock } from "../../src/common/index.js";
import { LogClient } from "../../src/log/index.js";
import {
    AddressBlock,
    callJson,
    type ProcessGroup,
    type RunningProcess,
    waitUntil,
    withProcesses,
} from "../../src/testbench/index.js";
import { createBill, createCopyTarget } from "../fixtures/bills.js";
import { createJournal } from "../fixtures/journals.js";

const program = fileURLToPath(new URL("../../src/bills/ledgerMain.js", import.meta.url));
const addresses = new AddressBlock("127.50.7");
const folder = mkdtempSync(join(tmpdir(), "ledger-main-test-"));

function startLedger(group: ProcessGroup, logUrl: string, out: string): Promise<RunningProcess> {
    const args = ["--log", logUrl, "--out", out, "--listen", addresses.next(), "--json"];
    return group.start({ program, args });
}

function readBills(out: string): Bill[] {
    const lines = readFileSync(out, "utf8").split("\n").filter(line => line !== "");
    return lines.map(line => (JSON.parse(line) as { bill: Bill; }).bill);
}

describe("rattanlock-ledger", () => {
    after(() => rmSync(folder, { recursive: true }));

    // Guards against lost and repeated bills: the log loses acknowledgements, so bills are appended several times, and
    // the ledger is killed and restarted in between. Each request must be billed once.
    it("bills each request once although it is killed and the log loses acknowledgements", async () => {
        await withProcesses(async group => {
            const log = await group.startStandin("log", addresses.next(), { lostAcknowledgementProbability: 0.4 });
            const url = `http://${log.getAddress()}`;
            const out = join(folder, "ledger.jsonl");
            const client = new LogClient({ url, clock: systemClock, timeoutMilliseconds: 500 });
            const { journal } = createJournal("entry-a");
            const base = { append: client.append.bind(client), clock: systemClock, journal };
            const replicaStore = new BillReplicaStore({ ...base, writer: "holder", hasDeparted: () => true });
            const writer = new BillWriter({
                ...base,
                writer: "entry-a",
                getCopyTargets: () => [createCopyTarget("holder", replicaStore)],
                getIntervalMilliseconds: () => 5,
            });
            writer.start();
            let ledger = await startLedger(group, url, out);
            for (let round = 0; round < 4; round += 1) {
                for (let index = 0; index < 40; index += 1) {
                    expect((await writer.add(createBill(`r${round}-${index}`))).isOk()).toEqual(true);
                }
                // The replica holder assumes that its origin is dead and appends the same bills.
                await replicaStore.appendDue();
                await ledger.kill();
                ledger = await startLedger(group, url, out);
            }
            expect((await writer.flush(10_000)).isOk()).toEqual(true);
            writer.stop();
            const read = () => callJson<LedgerReport>({ address: ledger.getAddress(), path: "/totals" });
            await waitUntil(async () => (await read()).requests === 160, { description: "all bills in the ledger" });
            expect((await read()).workspaces.map(total => [total.requests, total.total])).toEqual([[160, 80]]);
            expect(await ledger.stop()).toEqual(0);
            const ids = readBills(out).map(bill => bill.requestId);
            expect(ids.length).toEqual(160);
            expect(new Set(ids).size).toEqual(160);
        });
    });

    it("prints its usage when an argument is missing", async () => {
        await withProcesses(async group => {
            await expect(group.start({ program, args: ["--log", "http://127.50.7.250:1"] })).toBeRejectedWith("--out");
        });
    });
});
