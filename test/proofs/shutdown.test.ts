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

    /** Does something while callers work, and judges what they met. */
    async function underLoad(action: (proof: ProofSite) => Promise<StoppedUpstreamRuns | void>): Promise<void> {
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
        expect(findUnreportedErrors(traffic.getChats(), traffic.getPrints())).toEqual([]);
        await expectBilledOnce(
            proof,
            traffic.getChats().map(({ record }) => record),
            traffic.getPrints().map(({ record }) => record),
            stoppedRuns ?? undefined,
        );
    }

    // Operators replace all entries one after another while callers work. Callers keep the addresses that they were
    // told for a while, so an entry that stopped listening too early would refuse their connections, and one that
    // was announced before it listens would do so too.
    it("lets callers who follow the addresses see nothing of a rolling restart of all entries", async () => {
        await underLoad(async ({ site }) => {
            for (const name of entries) {
                expect(await site.getEntryOrThrow(name).process.stop()).toEqual(0);
                await site.startEntry(name);
                await site.waitUntilReady();
            }
        });
    });

    // An operator, or the platform, loses patience and signals a second time while an entry drains. Ending there
    // would break the answers under way and lose the bills that wait.
    it("goes on draining at a second and a third signal", async () => {
        await underLoad(async ({ site }) => {
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

    // The platform takes a VM away before its entry has drained. Callers with answers under way lose them, but what
    // was answered before must be billed.
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

    // The ledger is stopped in the middle of reading bills and answering questions. Whoever asks it meanwhile gets
    // a whole answer or finds it gone; after its restart it counts what it would have counted anyway.
    it("ends a ledger with code 0 at two signals, and it goes on where it was", async () => {
        const folder = mkdtempSync(join(tmpdir(), "rattanlock-ledger-"));
        await withProcesses(async group => {
            await underLoad(async ({ site }) => {
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

    // Operators take upstreams away: the VM list says so first, then they are signalled, twice. Callers must notice
    // nothing, and the upstreams must end in order.
    it("ends a leaving runner and a leaving service with code 0 while callers notice nothing", async () => {
        await underLoad(async ({ site }) => {
            const runner = await stopLeaving(site, "runner-3");
            const service = await stopLeaving(site, "service-2");
            return {
                engineRuns: runner.map(run => ({ ...run, runner: "runner-3" })),
                serviceRuns: service,
            };
        });
    });

    // The platform's own services are restarted in order while callers work. Ratings, weights and the VM list are not
    // needed to answer; without the log only what needs it is refused, and that refusal is true.
    it("ends the platform's services with code 0 at two signals while callers are told of all that is refused", async () => {
        const proof = getProof();
        const traffic = createTraffic(proof);
        traffic.start();
        await waitForChats(traffic);
        for (const part of ["rating", "weight-store", "vm-list", "log"] as const) {
            const process = proof.site.getPlatformProcess(part);
            process.signal("SIGTERM");
            process.signal("SIGINT");
            expect(await process.stop()).toEqual(0);
            await waitForChats(traffic);
        }
        await traffic.stop();
        expect(findUnreportedErrors(traffic.getChats(), traffic.getPrints())).toEqual([]);
    });
});

/** Marks an upstream as leaving, stops it by two signals once it gets nothing new, and returns what it ran. */
async function stopLeaving(site: Site, name: string) {
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

/** Begins a request to the ledger and does not finish it, so that the ledger's end takes a while. */
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

/** Waits until an upstream has had nothing new between two looks while others did. */
async function waitUntilIdle(upstream: RunningProcess, name: string): Promise<void> {
    let lastLength = -1;
    let idlePolls = 0;
    await waitUntil(async () => {
        const { length } = await callJson<readonly object[]>({ address: upstream.getAddress(), path: "/journal" });
        idlePolls = length === lastLength ? idlePolls + 1 : 0;
        lastLength = length;
        return idlePolls > 30;
    }, { description: `${name} to get nothing new` });
}
