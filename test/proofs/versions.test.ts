import { expect } from "earl";
import { describe, it } from "node:test";
import {
    callJson,
    type ChatRecord,
    type EngineRun,
    getApiKey,
    readEngineRuns,
    setFaults,
    waitUntil,
} from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const smallVersion = "label-small@5";
const maxLoadMilliseconds = 20_000;

describe("A version", () => {
    const getProof = useProofSite("127.63.2");

    // Guards against answers of a wrong version. After a stale order or an error, an engine has loaded another version
    // and answers with it. The caller would get text from a version that its workspace does not allow.
    it("that was not requested never answers a caller", async () => {
        const proof = getProof();
        const runners = getRunners(proof);
        const requests: Promise<ChatRecord>[] = [];
        await setFaults(runners[0], { runsInstead: { [smallVersion]: "label-small@6" } });
        for (let index = 0; index < 12; index += 1) {
            requests.push(
                requestChat(proof, { entry: entries[index % 3], model: smallVersion, streamed: index % 2 === 0 }),
            );
        }
        const recordsWithOneWrongRunner = await Promise.all(requests);
        for (const runner of runners) {
            await setFaults(runner, { runsInstead: { [smallVersion]: "label-small@6" } });
        }
        const recordsWithAllWrongRunners = await Promise.all(
            entries.map(entry => requestChat(proof, { entry, model: smallVersion, streamed: true })),
        );
        for (const runner of runners) {
            await setFaults(runner, { runsInstead: {} });
        }
        const wrongRuns = (await readEngineRuns(proof.site)).filter(run => run.ran === "label-small@6");
        expect(wrongRuns.length > 0).toEqual(true);
        expect(
            [...recordsWithOneWrongRunner, ...recordsWithAllWrongRunners].filter(record =>
                record.text.includes("label-small@6")
            ),
        ).toEqual([]);
        expect(recordsWithAllWrongRunners.map(record => [record.text, record.status === 200])).toEqual(
            entries.map(() => ["", false]),
        );
        expect(recordsWithAllWrongRunners.some(record => record.outcome === "not-run")).toEqual(false);
    });

    // Guards against two versions in one session. Several entries receive the first requests of a session at the same
    // time, and each would choose a version. A cook would get answers of several versions in one conversation.
    it("is the same for a session whose first requests arrive at several entries", async () => {
        const proof = getProof();
        const models = ["label-large", "label-medium", "label-small"];
        for (let round = 0; round < 8; round += 1) {
            const session = `race-${round}`;
            const records = await Promise.all(
                entries.map((entry, index) =>
                    requestChat(proof, { entry, session, model: models[(index + round) % 3] })
                ),
            );
            const servedVersions = new Set(
                records.filter(record => record.status === 200).map(record => record.version),
            );
            expect([records.every(record => record.status === 200), servedVersions.size]).toEqual([true, 1]);
        }
    });

    // Guards against a lost pin. An entry pins a session and crashes before it sends the answer. The caller retries at
    // the next entry, which would choose another version if the pin had been stored only in memory.
    it("stays with a session whose entry crashes between the pin and the answer", async () => {
        const proof = getProof();
        const { site } = proof;
        await setRunnerLinkFaults(proof, "entry-1", { freeze: true });
        const first = requestChat(proof, { entry: "entry-1", session: "orphan", model: "label-medium" });
        await waitUntil(() => hasPin(proof, "orphan"), { description: "the pin to be in the log" });
        await site.getEntryOrThrow("entry-1").process.kill();
        expect((await first).status).toEqual(0);
        const second = await waitUntil(async () => {
            const record = await requestChat(proof, { entry: "entry-2", session: "orphan", model: "label-large" });
            return record.status === 200 ? record : undefined;
        }, { description: "an answer from entry-2" });
        expect(second.version).toEqual("label-medium@2");
        await setRunnerLinkFaults(proof, "entry-1", { freeze: false });
        await site.startEntry("entry-1");
        await site.waitUntilReady();
    });

    // Guards against moved sessions and endless drains. Sessions in progress must end on the draining version, and new
    // ones must use other versions. A session that moved would change its tone and facts in the middle. If the version
    // took new sessions, the drain would never complete.
    it("that is draining keeps its sessions and takes no new ones", async () => {
        const proof = getProof();
        const { site } = proof;
        const session = "before-draining";
        const first = await requestChat(proof, { entry: "entry-1", session, model: "label-medium" });
        const offset = await site.publish([{ section: "version.label-medium@2", key: "status", value: "draining" }]);
        await site.waitUntilApplied(offset);
        for (const entry of entries) {
            const byPin = await requestChat(proof, { entry, session, model: "auto" });
            const byToken = await requestChat(proof, {
                entry,
                session,
                model: "auto",
                sessionToken: first.sessionToken,
            });
            expect([byPin.version, byToken.version]).toEqual(["label-medium@2", "label-medium@2"]);
            const other = await requestChat(proof, { entry, session: `new-${entry}`, model: "auto" });
            expect([other.status, other.version === "label-medium@2"]).toEqual([200, false]);
            const named = await requestChat(proof, { entry, session: `named-${entry}`, model: "label-medium" });
            expect([named.status, named.outcome]).toEqual([503, "not-run"]);
        }
        const undoOffset = await site.publish([{ section: "version.label-medium@2", key: "status", value: "serving" }]);
        await site.waitUntilApplied(undoOffset);
    });

    // Guards against answers of a withdrawn version. A bad version is withdrawn under load, one entry cannot reach the
    // log, and requests wait in an entry's queue during the change. Every answer after the withdrawal may harm a guest.
    it("that is withdrawn gets no new work once entries have applied it, and its sessions are refused", async () => {
        const proof = getProof();
        const { site } = proof;
        const pinned = await requestChat(proof, { entry: "entry-1", session: "bound", model: "label-small" });
        expect(pinned.version).toEqual(smallVersion);
        await site.setLinkFaults("entry-3", "log", { cut: true });
        const load = startLoad(proof);
        await waitUntil(async () => (await countRuns(proof)) >= 10, { description: "work on the version" });
        const startedAt = Date.now();
        const offset = await site.publish([{ section: `version.${smallVersion}`, key: "status", value: "withdrawn" }]);
        await site.waitUntilApplied(offset);
        const inForceAt = Date.now();
        for (const entry of entries) {
            const byPin = await requestChat(proof, { entry, session: "bound" });
            const byToken = await requestChat(proof, { entry, session: "bound", sessionToken: pinned.sessionToken });
            expect([byPin.status, byPin.outcome, byPin.text]).toEqual([410, "not-run", ""]);
            expect([byToken.status, byToken.outcome, byToken.text]).toEqual([410, "not-run", ""]);
        }
        const records = await load.stop();
        await site.setLinkFaults("entry-3", "log", { cut: false });
        const runs = (await readEngineRuns(site)).filter(run => run.ran === smallVersion);
        const lastArrivedAt = Math.max(...runs.map(run => run.arrivedAt));
        console.log(
            `last new work on a withdrawn version ${
                lastArrivedAt - startedAt
            } ms after the change, in force everywhere after ${
                inForceAt - startedAt
            } ms, one of three entries without the log, ${records.length} requests`,
        );
        expect(runs.filter(run => run.arrivedAt > inForceAt)).toEqual([]);
        expect(findFalseRefusals(records, await readEngineRuns(site))).toEqual([]);
    });
});

interface ChatOptions {
    readonly entry: string;
    readonly model?: string;
    readonly session?: string;
    readonly sessionToken?: string;
    readonly streamed?: boolean;
}

function requestChat(proof: ProofSite, options: ChatOptions): Promise<ChatRecord> {
    return proof.caller.chat({
        ...options,
        entry: proof.site.getEntryOrThrow(options.entry).callerAddress,
        key: getApiKey("commissary"),
        text: "Does the pastry hold sesame?",
        maxTokens: 20,
        timeoutMilliseconds: 8000,
    });
}

function getRunners(proof: ProofSite): readonly string[] {
    return [...proof.site.getUpstreams()].filter(([name]) => name.startsWith("runner")).map(([, runner]) =>
        runner.getAddress()
    );
}

async function setRunnerLinkFaults(proof: ProofSite, entry: string, faults: object): Promise<void> {
    for (const name of proof.site.getUpstreams().keys()) {
        if (name.startsWith("runner")) {
            await proof.site.setLinkFaults(entry, name, faults);
        }
    }
}

async function hasPin(proof: ProofSite, session: string): Promise<boolean> {
    for (let partition = 0; partition < 8; partition += 1) {
        const page = await callJson<object>({
            address: proof.site.getPlatformAddress("log"),
            path: `/streams/claims-${partition}?from=0&limit=500`,
        });
        if (JSON.stringify(page).includes(`/${session}"`)) {
            return true;
        }
    }
    return false;
}

async function countRuns(proof: ProofSite): Promise<number> {
    return (await readEngineRuns(proof.site)).filter(run => run.ran === smallVersion).length;
}

/** Requests the version at all entries until it is stopped, with more concurrent requests than entries run at a time. */
function startLoad(proof: ProofSite): { readonly stop: () => Promise<readonly ChatRecord[]>; } {
    const records: ChatRecord[] = [];
    let isStopped = false;
    // A test that fails before it stops the load must not keep the process busy forever.
    setTimeout(() => isStopped = true, maxLoadMilliseconds).unref();
    const loops: Promise<void>[] = [];
    for (let index = 0; index < 90; index += 1) {
        loops.push((async () => {
            while (!isStopped) {
                const record = await requestChat(proof, { entry: entries[index % 3], model: smallVersion });
                records.push(record);
                if (record.status !== 200) {
                    await new Promise(resolve => setTimeout(resolve, 100));
                }
            }
        })());
    }
    return {
        stop: async () => {
            isStopped = true;
            await Promise.all(loops);
            return records;
        },
    };
}

/** Returns the identifiers of requests that were reported as "not-run", but ran. */
function findFalseRefusals(records: readonly ChatRecord[], runs: readonly EngineRun[]): readonly string[] {
    const executedRequestIds = new Set(runs.map(run => run.id.split(".")[0]));
    const falseRefusals: string[] = [];
    for (const { outcome, requestId } of records) {
        if (outcome === "not-run" && requestId !== undefined && executedRequestIds.has(requestId)) {
            falseRefusals.push(requestId);
        }
    }
    return falseRefusals;
}
