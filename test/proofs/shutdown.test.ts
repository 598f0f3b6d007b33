import { expect } from "earl";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import type { LedgerReport } from "../../src/bills/index.js";
import {
    AddressResolver,
    callJson,
    type EngineRun,
    findUnreportedErrors,
    getJournal,
    type ProcessGroup,
    type RunningProcess,
    type ServiceRun,
    type Site,
    Traffic,
    waitUntil,
    withProcesses,
} from "../../src/testbench/index.js";
import { expectBilledOnce, type StoppedUpstreamRuns } from "./billingFixtures.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const ledgerProgram = fileURLToPath(new URL("../../src/bills/ledgerMain.js", import.meta.url));
const ledgerAddress = `127.62.2.250:${10_000 + process.pid % 20_000}`;
const chatsPerStep = 40;

describe("A graceful shutdown under load", () => {
    const getProof = useProofSite("127.62.2", {
        hasProxiedLinks: false,
        entrySettings: { timing: { peer_timeout_ms: "400", bill_flush_ms: "700" } },
    });

    function createTraffic(proof: ProofSite): Traffic {
        const resolver = new AddressResolver(proof.site.getEntries().map(entry => entry.callerAddress));
        return new Traffic({
            caller: proof.caller,
            key: proof.key,
            pool: "label-app",
            chatCallers: 9,
            printCallers: 2,
            getEntry: () => resolver.getAddress(),
            resumesBrokenAnswers: false,
        });
    }

    /** Performs an action under load and checks that callers got no unreported errors and that all bills are right. */
    async function runUnderLoad(action: (proof: ProofSite) => Promise<StoppedUpstreamRuns | void>): Promise<void> {
        const proof = getProof();
        const traffic = createTraffic(proof);
        traffic.start();
        await waitForChats(traffic);
        let stoppedRuns: StoppedUpstreamRuns | void;
        try {
            stoppedRuns = await action(proof);
            await waitForChats(traffic);
        }
        finally {
            await traffic.stop();
        }
        expectNoUnreportedErrors(proof.site, traffic);
        await expectBilledOnce(
            proof,
            traffic.getChats().map(({ record }) => record),
            traffic.getPrints().map(({ record }) => record),
            stoppedRuns ?? undefined,
        );
    }

    // Guards against refused connections during a rolling restart. Callers cache the addresses of entries for a while.
    // An entry that stopped listening too early would refuse their connections, and so would one that was announced
    // before it listens.
    it("lets callers who follow the addresses see nothing of a rolling restart of all entries", async () => {
        await runUnderLoad(async ({ site }) => {
            for (const name of entries) {
                expect(await site.getEntryOrThrow(name).process.stop()).toEqual(0);
                await site.startEntry(name);
                await site.waitUntilReady();
            }
        });
    });

    // Guards against an aborted drain. An operator or the platform sends another signal while an entry drains. Exiting
    // at that point would interrupt the answers in flight and lose the bills that have not been appended.
    it("goes on draining at a second and a third signal", async () => {
        await runUnderLoad(async ({ site }) => {
            const { process } = site.getEntryOrThrow("entry-2");
            process.signal("SIGTERM");
            await waitForEvent(process, "process-stopping");
            process.signal("SIGINT");
            process.signal("SIGTERM");
            expect(await process.stop()).toEqual(0);
            await site.startEntry("entry-2");
            await site.waitUntilReady();
        });
    });

    // Guards against lost bills when a drain is cut short. The platform removes a VM before its entry has drained.
    // Callers lose the answers in flight, but completed answers must be billed.
    it("loses no bill when the process is killed while it drains", async () => {
        const proof = getProof();
        const traffic = createTraffic(proof);
        traffic.start();
        await waitForChats(traffic);
        const { process } = proof.site.getEntryOrThrow("entry-3");
        process.signal("SIGTERM");
        await waitForEvent(process, "process-stopping");
        await waitForChats(traffic);
        await process.kill();
        await waitForChats(traffic);
        await traffic.stop();
        await expectBilledOnce(proof, traffic.getChats().map(({ record }) => record));
        await proof.site.startEntry("entry-3");
        await proof.site.waitUntilReady();
    });

    // Guards against wrong totals and truncated replies when the ledger stops. The ledger is stopped while it reads
    // bills and serves requests. Clients get a complete reply or a refused connection, and after the restart its totals
    // are the same as without the stop.
    it("ends a ledger with code 0 at two signals, and it goes on where it was", async () => {
        const folder = mkdtempSync(join(tmpdir(), "rattanlock-ledger-"));
        await withProcesses(async group => {
            await runUnderLoad(async ({ site }) => {
                const start = () => startLedger(group, site.getPlatformAddress("log"), join(folder, "bills.jsonl"));
                for (let round = 0; round < 3; round += 1) {
                    const ledger = await start();
                    await waitUntil(async () => (await readTotals()).requests > 0, {
                        description: "bills in the ledger",
                    });
                    const unfinished = await startRequest();
                    ledger.signal("SIGTERM");
                    await waitForEvent(ledger, "process-stopping");
                    ledger.signal("SIGTERM");
                    expect(await ledger.stop()).toEqual(0);
                    unfinished.destroy();
                }
                await start();
            });
            const bills = await getProof().site.readBills();
            await waitUntil(async () => (await readTotals()).requests === bills.size, { description: "all bills" });
            expect((await readTotals()).conflicts).toEqual(0);
        });
        rmSync(folder, { recursive: true });
    });

    // Guards against failed requests when an upstream is removed. The VM list marks the upstream as leaving, and then
    // it gets two signals. Callers must notice nothing, and the upstream must exit with code 0.
    it("ends a leaving runner and a leaving service with code 0 while callers notice nothing", async () => {
        await runUnderLoad(async ({ site }) => {
            const runner = await stopLeavingUpstream(site, "runner-3");
            const service = await stopLeavingUpstream(site, "service-2");
            return {
                engineRuns: runner.map(run => ({ ...run, runner: "runner-3" })),
                serviceRuns: service,
            };
        });
    });

    // Guards against unreported errors when the platform's services stop under load. Ratings, weights and the VM list
    // are not needed to answer. Without the log, only requests that need it are refused, and their outcome "not-run" is
    // correct.
    it("ends the platform's services with code 0 at two signals while every refusal is reported to callers", async () => {
        const proof = getProof();
        const traffic = createTraffic(proof);
        traffic.start();
        await waitForChats(traffic);
        for (const service of ["rating", "weight-store", "vm-list", "log"] as const) {
            const process = proof.site.getPlatformProcess(service);
            process.signal("SIGTERM");
            process.signal("SIGINT");
            expect(await process.stop()).toEqual(0);
            await waitForChats(traffic);
        }
        await traffic.stop();
        expectNoUnreportedErrors(proof.site, traffic);
    });
});

/** Checks that callers got no unreported errors. The message also lists what the entries wrote about claims. */
function expectNoUnreportedErrors(site: Site, traffic: Traffic): void {
    const errors = findUnreportedErrors(traffic.getChats(), traffic.getPrints());
    if (errors.length === 0) {
        return;
    }
    const claimEvents = site.getEntries()
        .flatMap(entry => entry.process.getEvents())
        .filter(event => event.name.startsWith("claim"))
        .map(event => JSON.stringify(event));
    throw new Error([...errors, ...claimEvents].join("\n"));
}

/** Marks an upstream as leaving, stops it by two signals once it gets no new work, and returns its runs. */
async function stopLeavingUpstream(site: Site, name: string) {
    const upstream = site.getUpstreamOrThrow(name);
    await site.setVmState(name, "leaving");
    await waitUntilIdle(upstream, name);
    const runs = await getJournal<Omit<EngineRun, "runner"> & ServiceRun>(upstream.getAddress());
    upstream.signal("SIGTERM");
    upstream.signal("SIGINT");
    expect(await upstream.stop()).toEqual(0);
    return runs;
}

function startLedger(group: ProcessGroup, log: string, out: string): Promise<RunningProcess> {
    return group.start({
        program: ledgerProgram,
        args: ["--log", `http://${log}`, "--out", out, "--listen", ledgerAddress],
    });
}

/** Starts a request to the ledger without completing it, so that the ledger's shutdown takes a while. */
async function startRequest(): Promise<Socket> {
    const [host, port] = ledgerAddress.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => undefined);
    await once(socket, "connect");
    socket.write("GET /totals HTTP/1.1\r\n");
    return socket;
}

function readTotals(): Promise<LedgerReport> {
    return callJson<LedgerReport>({ address: ledgerAddress, path: "/totals" });
}

async function waitForChats(traffic: Traffic): Promise<void> {
    const expectedCount = traffic.getChats().length + chatsPerStep;
    await waitUntil(() => traffic.getChats().length >= expectedCount, { description: `${chatsPerStep} more chats` });
}

async function waitForEvent(process: RunningProcess, name: string): Promise<void> {
    await waitUntil(() => process.getEvents().some(event => event.name === name), { description: `the event ${name}` });
}

/** Waits until an upstream's journal has not grown for more than 30 consecutive polls. */
async function waitUntilIdle(upstream: RunningProcess, name: string): Promise<void> {
    let lastLength = -1;
    let idlePolls = 0;
    await waitUntil(async () => {
        const { length } = await callJson<readonly object[]>({ address: upstream.getAddress(), path: "/journal" });
        idlePolls = length === lastLength ? idlePolls + 1 : 0;
        lastLength = length;
        return idlePolls > 30;
    }, { description: `${name} to get no new work` });
}
