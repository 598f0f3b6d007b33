import { expect } from "earl";
import { describe, it } from "node:test";
import { rolloutRecordKinds } from "../../src/control/index.js";
import type { EventLine } from "../../src/events/index.js";
import {
    callJson,
    type ChatRecord,
    getApiKey,
    metroManila,
    readEngineRuns,
    setFaults,
    waitUntil,
} from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const candidate = "label-small@6";

describe("New work", () => {
    const getProof = useProofSite("127.63.7", {
        versions: [...metroManila.versions, { ...metroManila.versions[1], id: "label-medium@9", status: "candidate" }],
    });

    // Guards against version changes after a roll-out. A roll-out has finished, and no operator has changed the
    // candidate's status yet. If its callers fell back to the old version, they would change versions twice. A draining
    // version must not get new work.
    it("goes to a candidate whose roll-out has finished, until it drains", async () => {
        const proof = getProof();
        const { site } = proof;
        const id = "finished";
        await append(proof, rolloutRecordKinds.start, {
            rollout: id,
            model: "label-medium",
            candidate: "label-medium@9",
            baseline: "label-medium@2",
            stages: [1],
            budget: [300],
            startedBy: "test",
        });
        // Entries that start at the same time all try to take the lease. The rejected takes stay in the stream after
        // the accepted one, so the current fencing token must be read from the folded state.
        await append(proof, "lease-take", { lease: "control", holder: "nobody", termMilliseconds: 1500 });
        await waitUntil(async () => {
            const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
            await append(proof, rolloutRecordKinds.finish, { rollout: id, fence: states[0].lease.fence });
            return states.every(({ rollouts }) =>
                rollouts.some(other => other.id === id && other.state === "finished")
            );
        }, { description: "the roll-out to be finished everywhere" });
        for (const entry of entries) {
            expect((await requestChat(proof, entry, "label-medium")).version).toEqual("label-medium@9");
        }
        const draining = [{ section: "version.label-medium@9", key: "status", value: "draining" }];
        await site.waitUntilApplied(await site.publish(draining));
        for (const entry of entries) {
            expect((await requestChat(proof, entry, "label-medium")).version).toEqual("label-medium@2");
        }
    });

    // Guards against a bad candidate during an outage of the log. A version becomes bad in the middle of its roll-out
    // while the log is unavailable. The halt cannot be appended, but must still take effect at all entries at once;
    // callers get the stable version.
    it("stops on a version that becomes bad, at all entries, while the log is unavailable", async () => {
        const proof = getProof();
        const { site } = proof;
        await Promise.all(
            Array.from({ length: 60 }, (_, index) => requestChat(proof, entries[index % 3], "label-small")),
        );
        await append(proof, rolloutRecordKinds.start, {
            rollout: "bad",
            model: "label-small",
            candidate,
            baseline: "label-small@5",
            stages: [1],
            budget: [300],
            startedBy: "test",
        });
        for (const [name, runner] of site.getUpstreams()) {
            if (name.startsWith("runner")) {
                await setFaults(runner.getAddress(), { version: candidate, errorRate: 1 });
            }
        }
        await waitUntil(
            async () =>
                (await site.readStream("control")).some(({ record }) =>
                    record.kind === "rollout-grant" && (record.body as { rollout: string; }).rollout === "bad"
                ),
            {
                description: "a first grant",
            },
        );
        await setFaults(site.getPlatformAddress("log"), { outage: "drop" });
        try {
            await waitUntil(async () => {
                await Promise.all(entries.map(entry => requestChat(proof, entry, "label-small")));
                const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
                return states.every(({ versions }) => versions.some(({ id, halted }) => id === candidate && halted));
            }, { description: "all entries to report the halt" });
            const haltedAt = Date.now();
            for (const entry of entries) {
                const record = await requestChat(proof, entry, "label-small");
                expect([record.status, record.version]).toEqual([200, "label-small@5"]);
                expect((await requestChat(proof, entry, candidate)).outcome).toEqual("not-run");
            }
            const lateRuns = (await readEngineRuns(site)).filter(run =>
                run.asked === candidate && run.arrivedAt > haltedAt
            );
            expect(lateRuns).toEqual([]);
        }
        finally {
            await setFaults(site.getPlatformAddress("log"), { outage: "none" });
        }
        await waitUntil(async () => (await site.readStream("control")).some(({ record }) => record.kind === "halt"), {
            description: "the halt to be appended once the log is available again",
        });
    });

    // Guards against work on a runner that is about to be removed. Only the VM list reports that it leaves. Work that
    // is sent to it after that is lost with it.
    it("stops on an upstream that the VM list reports as leaving", async () => {
        const proof = getProof();
        const { site } = proof;
        const startedAt = Date.now();
        await site.setVmState("runner-1", "leaving");
        await waitUntilRemoved(proof, "runner-1");
        const removedAt = Date.now();
        for (let round = 0; round < 10; round += 1) {
            await Promise.all(entries.map(entry => requestUntilServed(proof, entry)));
        }
        const runs = (await readEngineRuns(site)).filter(run => run.runner === "runner-1");
        expect(runs.filter(run => run.arrivedAt > removedAt)).toEqual([]);
        console.log(`leaving by the VM list: applied at 3 entries ${removedAt - startedAt} ms after the change`);
    });

    // Guards against work on a leaving runner behind a broken link. A runner reports that it leaves before the VM list
    // does. An entry that cannot reach the runner must receive this from the other entries. Otherwise it would send
    // work to the runner as soon as its own link is restored.
    it("stops on an upstream that reports itself as leaving, also at an entry that receives it by gossip only", async () => {
        const proof = getProof();
        const { site } = proof;
        await site.setLinkFaults("entry-3", "runner-2", { freeze: true });
        const startedAt = Date.now();
        await setFaults(site.getUpstreamOrThrow("runner-2").getAddress(), { leaving: true });
        await waitUntilRemoved(proof, "runner-2");
        console.log(`leaving by its own report and gossip: applied at 3 entries after ${Date.now() - startedAt} ms`);
        const dispatchCount = await countDispatches(proof, "runner-2");
        await site.setLinkFaults("entry-3", "runner-2", { freeze: false });
        for (let round = 0; round < 10; round += 1) {
            await Promise.all(entries.map(entry => requestUntilServed(proof, entry)));
        }
        expect(await countDispatches(proof, "runner-2")).toEqual(dispatchCount);
    });
});

async function append(proof: ProofSite, kind: string, body: object): Promise<void> {
    await proof.site.append("control", { id: `${kind}-${Math.random()}`, kind, format: 1, writer: "test", body });
}

function requestChat(proof: ProofSite, entry: string, model: string): Promise<ChatRecord> {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: getApiKey("commissary"),
        model,
        text: "Does the pastry hold sesame?",
        maxTokens: 8,
        timeoutMilliseconds: 8000,
    });
}

/**
 * Sends a request and retries it, as a caller does, while the outcome is "not-run" with a `Retry-After`, which may happen
 * on a busy machine. Any other refusal fails the test.
 */
async function requestUntilServed(proof: ProofSite, entry: string): Promise<void> {
    let problem: string | undefined;
    await waitUntil(async () => {
        const record = await requestChat(proof, entry, "auto");
        if (record.status === 200) {
            return true;
        }
        problem = record.problem;
        expect([record.outcome, record.retryAfterSeconds !== undefined]).toEqual(["not-run", true]);
        return false;
    }, { description: `an answer of ${entry}`, describeState: () => String(problem) });
}

async function waitUntilRemoved(proof: ProofSite, runner: string): Promise<void> {
    await waitUntil(async () => {
        const states = await Promise.all(entries.map(entry => proof.site.getStatus(entry)));
        return states.every(({ upstreams }) => upstreams.every(({ id }) => id !== runner));
    }, { description: `all entries to remove ${runner}` });
}

/** Counts the requests that entries dispatched to a runner. */
async function countDispatches(proof: ProofSite, runner: string): Promise<number> {
    let count = 0;
    for (const entry of entries) {
        const lines = await callJson<readonly EventLine[]>({
            address: proof.site.getEntryOrThrow(entry).operatorAddress,
            path: "/events",
        });
        count += lines.filter(line => line.name === "request-dispatched" && line.upstream === runner).length;
    }
    return count;
}
