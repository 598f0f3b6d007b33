import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { rolloutRecordKinds } from "../../src/control/index.js";
import {
    call,
    callJson,
    type ChatRecord,
    getApiKey,
    getJournal,
    metroManila,
    readEngineRuns,
    setFaults,
    waitUntil,
} from "../../src/testbench/index.js";
import { runCommand } from "../command/runCommand.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const runners = ["runner-1", "runner-2"];
const largeVersion = "label-large@3";
const smallVersion = "label-small@5";
const candidateVersion = "label-small@6";
const mediumVersion = "label-medium@2";

const versions = metroManila.versions
    .filter(version => version.id !== mediumVersion)
    .map(version => version.id === candidateVersion ? { ...version, expectedQuality: 0.8, quality: 0.8 } : version);

describe("Orders to engines", () => {
    const getProof = useProofSite("127.63.11", {
        runners: {
            name: "lm-pool",
            count: 2,
            settings: { stepMilliseconds: 5, versions: `${largeVersion},${smallVersion}`, loadMilliseconds: 300 },
        },
        versions,
        workspaces: metroManila.workspaces.filter(workspace => workspace.name === "commissary"),
        sections: {
            "pool.lm-pool": { orders: "true", versions_per_runner: "4", loads_at_a_time: "1", checks_fencing: "true" },
        },
    });

    before(async () => {
        for (const runner of runners) {
            await setFaults(getAddress(getProof(), runner), {
                weightStore: getProof().site.getPlatformAddress("weight-store"),
            });
        }
        const storedVersions = [
            largeVersion,
            smallVersion,
            candidateVersion,
            mediumVersion,
            "label-late@1",
            "label-half@1",
            "label-extra@1",
            "label-retired@1",
        ];
        await setFaults(getProof().site.getPlatformAddress("weight-store"), {
            versions: storedVersions,
            readsPerSecond: 2,
        });
    });

    after(async () => {
        for (const name of entries) {
            getProof().site.getEntryOrThrow(name).process.resume();
        }
    });

    // Guards against traffic to a candidate that is not loaded. A roll-out starts for a version that no engine has
    // loaded while the weight store is unavailable. Callers that were routed to it would be refused by every runner,
    // and their failures would count against the version.
    it("load a candidate that no runner has, and its roll-out waits until it is loaded", async () => {
        const proof = getProof();
        const { site } = proof;
        await setFaults(site.getPlatformAddress("weight-store"), { outage: "answer" });
        await startRollout(proof, "unloaded");
        const holder = await waitUntil(() => findWaitingEntry(proof, "unloaded"), {
            description: "the roll-out to wait",
        });
        await waitUntil(async () => (await countOrders(proof, candidateVersion)) > 0, {
            description: "an order to load it",
        });
        const statusOutput = await runCommand("rollout", "status", ...createFlags(proof));
        expect(statusOutput.stdout).toInclude("waits until its candidate is loaded");
        for (const entry of entries) {
            expect((await requestChat(proof, entry, "label-small")).version).toEqual(smallVersion);
        }
        expect(await countGrants(proof)).toEqual(0);
        await setFaults(site.getPlatformAddress("weight-store"), { outage: "none" });
        await waitForVersion(proof, candidateVersion);
        await waitUntil(async () => await countGrants(proof) > 0, { description: "a grant" });
        expect((await site.getStatus(holder)).rollouts.map(rollout => rollout.state)).toEqual(["active"]);
        await waitUntil(async () => {
            const records = await Promise.all(
                entries.map((entry, index) => requestChat(proof, entry, "label-small", index)),
            );
            return records.some(record => record.version === candidateVersion);
        }, { description: "an answer of the candidate" });
        const upstreams = await runCommand("upstreams", ...createFlags(proof));
        expect(upstreams.stdout).toMatchRegex(/runner-1 .* yes +label-\S+, label-\S+, label-\S+ +as wanted/);
        expect(await findWrongAnswers(proof)).toEqual([]);
    });

    // Guards against interrupted answers and leaked memory when a version is withdrawn. If it were unloaded at once,
    // answers in progress would be interrupted. If it were never unloaded, its memory would not be available to the
    // next version.
    it("unload a withdrawn version once its work has ended", async () => {
        const proof = getProof();
        const { site } = proof;
        const retired = "label-retired@1";
        await publishVersion(proof, retired);
        await waitForVersion(proof, retired);
        for (const runner of runners) {
            await setFaults(getAddress(proof, runner), { version: retired, outputTokens: 400 });
        }
        const chat = requestChat(proof, "entry-1", retired, 0, 400);
        const run = await waitUntil(
            async () =>
                (await readEngineRuns(site)).find(other => other.ran === retired && other.outcome === "running"),
            {
                description: "work on the version",
            },
        );
        await site.publish([{ section: `version.${retired}`, key: "status", value: "withdrawn" }]);
        await waitForVersion(proof, retired, false);
        const record = await chat;
        expect([record.status, record.isComplete]).toEqual([200, true]);
        const ended = (await readRuns(proof, run.runner)).find(other => other.id === run.id)?.endedAt ?? Infinity;
        const orders = await readOrders(proof, run.runner);
        const unloads = orders.filter(order => !order.versions.includes(retired) && order.time >= run.arrivedAt);
        expect([unloads.length > 0, unloads.every(order => order.time >= ended)]).toEqual([true, true]);
    });

    // Guards against late orders of a former holder. The holder is paused while its order is in flight, and the order
    // arrives after another holder has sent a different one. An engine that does not check fencing tokens follows it:
    // it unloads a serving version and loads a withdrawn one. The test itself sends the order with the fencing token of
    // the paused holder, since an order of the holder itself times out after two seconds and cannot be delayed for long
    // enough.
    it("of a former holder are refused, or put right by the present one", async () => {
        const proof = getProof();
        const { site } = proof;
        await setFaults(getAddress(proof, "runner-2"), { checksFencing: false });
        await setFaults(site.getPlatformAddress("weight-store"), { readsPerSecond: 100 });
        await publishPool(proof, { loads_at_a_time: "2" });
        const formerHolder = await findHolder(proof, entries);
        const { fence } = (await site.getStatus(formerHolder)).lease;
        site.getEntryOrThrow(formerHolder).process.pause();
        const others = entries.filter(name => name !== formerHolder);
        await publishVersion(proof, "label-late@1", "withdrawn");
        await publishVersion(proof, mediumVersion);
        await findHolder(proof, others);
        await waitForVersion(proof, mediumVersion);
        const load = startLoad(proof, others);
        for (const runner of runners) {
            await sendOrder(proof, runner, {
                fence,
                versions: [largeVersion, smallVersion, "label-late@1"],
                role: "serve",
            });
        }
        const outcomes = await Promise.all(
            runners.map(async runner => findLateOutcome(await readOrders(proof, runner))),
        );
        expect(outcomes).toEqual(["refused", "followed"]);
        await waitForRepair(proof);
        site.getEntryOrThrow(formerHolder).process.resume();
        await site.waitUntilReady();
        const records = await load.stop();
        await waitForRepair(proof);
        expect(records.length > 0).toEqual(true);
        expect(records.filter(record => record.version !== undefined && record.version !== mediumVersion)).toEqual([]);
        expect(records.filter(record => record.text !== "" && !record.text.includes(mediumVersion))).toEqual([]);
        expect((await readEngineRuns(site)).filter(run => run.ran === "label-late@1")).toEqual([]);
    });

    // Guards against orders that are left incomplete. The holder crashes after the first runner has started to load a
    // version. Without a new holder, the other runners would never load it, and its callers would overload one runner.
    it("are completed by another holder when the first one is killed halfway", async () => {
        const proof = getProof();
        const { site } = proof;
        await publishPool(proof, { loads_at_a_time: "1", versions_per_runner: "7" });
        // The larger limit lets other versions load as well. They must be loaded first, or they delay the tested
        // version.
        await publishVersion(proof, "label-extra@1");
        await waitForVersion(proof, "label-extra@1");
        const first = await waitUntil(async () => {
            const holder = await findHolder(proof, entries);
            return await countMissingLoads(proof, holder) === 0 ? holder : undefined;
        }, { description: "all other versions to be loaded" });
        // The outage prevents loads from completing before the holder is killed, even on a slow machine.
        await setFaults(site.getPlatformAddress("weight-store"), { outage: "answer" });
        await publishVersion(proof, "label-half@1");
        await waitUntil(async () => (await countOrders(proof, "label-half@1")) > 0, { description: "the first load" });
        await site.getEntryOrThrow(first).process.kill();
        await setFaults(site.getPlatformAddress("weight-store"), { outage: "none" });
        await waitForVersion(proof, "label-half@1");
        const orders = (await Promise.all(runners.map(runner => readOrders(proof, runner)))).flat();
        const fencingTokens = new Set(
            orders.filter(order => order.versions.includes("label-half@1")).map(order => order.fence),
        );
        expect(fencingTokens.size).toEqual(2);
        await site.startEntry(first);
        await site.waitUntilReady();
    });
});

interface OrderJournalEntry {
    readonly kind: string;
    readonly time: number;
    readonly fence: number;
    readonly versions: readonly string[];
    readonly outcome: string;
}

interface RunJournalEntry {
    readonly kind: string;
    readonly id: string;
    readonly endedAt?: number;
}

interface OrdersStatus {
    readonly orders: readonly { readonly pool: string; readonly missing: number; }[];
}

interface WaitingStatus {
    readonly waitingRollouts: readonly string[];
}

function getAddress(proof: ProofSite, runner: string): string {
    return proof.site.getUpstreamOrThrow(runner).getAddress();
}

async function readOrders(proof: ProofSite, runner: string): Promise<readonly OrderJournalEntry[]> {
    return (await getJournal<OrderJournalEntry>(getAddress(proof, runner))).filter(journalEntry =>
        journalEntry.kind === "order"
    );
}

async function readRuns(proof: ProofSite, runner: string): Promise<readonly RunJournalEntry[]> {
    return (await getJournal<RunJournalEntry>(getAddress(proof, runner))).filter(journalEntry =>
        journalEntry.kind === "request"
    );
}

async function countOrders(proof: ProofSite, version: string): Promise<number> {
    const orders = await Promise.all(runners.map(runner => readOrders(proof, runner)));
    return orders.flat().filter(order => order.versions.includes(version)).length;
}

/** Returns the outcome of the first order that arrived after an order with a newer fencing token. */
function findLateOutcome(orders: readonly OrderJournalEntry[]): string | undefined {
    let maxFencingToken = -1;
    for (const { fence, outcome } of orders) {
        if (fence < maxFencingToken) {
            return outcome;
        }
        maxFencingToken = fence;
    }
    return undefined;
}

/** Waits until every runner reports a version as loaded, or until none does. */
async function waitForVersion(proof: ProofSite, version: string, shouldBeLoaded = true): Promise<void> {
    for (const runner of runners) {
        await waitUntil(async () => {
            const report = await callJson<{ versions: string[]; }>({
                address: getAddress(proof, runner),
                path: "/load",
            });
            return report.versions.includes(version) === shouldBeLoaded;
        }, { description: `${runner} to ${shouldBeLoaded ? "load" : "unload"} ${version}` });
    }
}

/** Waits until every runner has loaded the serving version again and unloaded the withdrawn one. */
async function waitForRepair(proof: ProofSite): Promise<void> {
    await waitForVersion(proof, mediumVersion);
    await waitForVersion(proof, "label-late@1", false);
}

function findHolder(proof: ProofSite, names: readonly string[]): Promise<string> {
    return waitUntil(async () => {
        for (const name of names) {
            if ((await proof.site.getStatus(name)).holdsLease) {
                return name;
            }
        }
        return undefined;
    }, { description: "an entry to hold the lease" });
}

async function findWaitingEntry(proof: ProofSite, rollout: string): Promise<string | undefined> {
    for (const name of entries) {
        const address = proof.site.getEntryOrThrow(name).operatorAddress;
        const status = await callJson<WaitingStatus>({ address, path: "/status" });
        if (status.waitingRollouts.includes(rollout)) {
            return name;
        }
    }
    return undefined;
}

/** Returns the number of loads that a holder still has to order or that are in progress. */
async function countMissingLoads(proof: ProofSite, holder: string): Promise<number | undefined> {
    const address = proof.site.getEntryOrThrow(holder).operatorAddress;
    const { orders } = await callJson<OrdersStatus>({ address, path: "/status" });
    return orders.find(({ pool }) => pool === "lm-pool")?.missing;
}

async function countGrants(proof: ProofSite): Promise<number> {
    const records = await proof.site.readStream("control");
    return records.filter(entry => entry.record.kind === rolloutRecordKinds.grant).length;
}

function createFlags(proof: ProofSite): readonly string[] {
    const log = `http://${proof.site.getPlatformAddress("log")}`;
    return ["--log", log, "--vm-list", `http://${proof.site.getPlatformAddress("vm-list")}`];
}

async function sendOrder(proof: ProofSite, runner: string, order: object): Promise<void> {
    await call({ address: getAddress(proof, runner), path: "/orders", method: "POST", body: order });
}

async function publishVersion(proof: ProofSite, id: string, status = "serving"): Promise<void> {
    const section = `version.${id}`;
    await proof.site.publish([
        { section, key: "status", value: status },
        { section, key: "input_price", value: "1" },
        { section, key: "output_price", value: "4" },
        { section, key: "expected_quality", value: "0.85" },
    ]);
}

async function publishPool(proof: ProofSite, settings: Readonly<Record<string, string>>): Promise<void> {
    const section = "pool.lm-pool";
    const changes = Object.entries(settings).map(([key, value]) => ({ section, key, value }));
    await proof.site.waitUntilApplied(await proof.site.publish(changes));
}

async function startRollout(proof: ProofSite, rollout: string): Promise<void> {
    await proof.site.append("control", {
        id: `start-${rollout}`,
        kind: rolloutRecordKinds.start,
        format: 1,
        writer: "test",
        body: {
            rollout,
            model: "label-small",
            candidate: candidateVersion,
            baseline: smallVersion,
            stages: [0.5, 1],
            budget: [100, 400],
            startedBy: "test",
        },
    });
}

function requestChat(
    proof: ProofSite,
    entry: string,
    model: string,
    index = 0,
    maxTokens = 8,
): Promise<ChatRecord> {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: getApiKey("commissary"),
        session: `session-${entry}-${index}-${Math.random()}`,
        model,
        text: "Does the pastry hold sesame?",
        maxTokens,
        timeoutMilliseconds: 8000,
    });
}

/** Requests the serving version continuously at the given entries until it is stopped. */
function startLoad(
    proof: ProofSite,
    names: readonly string[],
): { readonly stop: () => Promise<readonly ChatRecord[]>; } {
    const records: ChatRecord[] = [];
    let isStopped = false;
    const loops = names.map(async name => {
        while (!isStopped) {
            records.push(await requestChat(proof, name, mediumVersion));
        }
    });
    return {
        stop: async () => {
            isStopped = true;
            await Promise.all(loops);
            return records;
        },
    };
}

/** Returns the identifiers of the runs whose version differs from the requested one. */
async function findWrongAnswers(proof: ProofSite): Promise<readonly string[]> {
    return (await readEngineRuns(proof.site)).filter(run => run.asked !== run.ran).map(run => run.id);
}
