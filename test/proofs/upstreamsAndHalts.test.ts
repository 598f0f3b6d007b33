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

    // A roll-out has finished, and no operator has changed the candidate's status yet. If its callers fell back to the
    // old version at that moment, everybody would change versions twice; and a draining one must take nobody new.
    it("stays with a candidate whose roll-out has finished, until it drains", async () => {
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
        // Entries that start together all try to take the lease. The takes that lost stay in the stream, after the one
        // that counts, so only the folded state tells the fence.
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

    // A version turns bad in the middle of its roll-out while the log is away. Nobody can write the halt down, but
    // callers must not meet the version any longer for that, at any entry; they get the settled one.
    it("stops on a version that turns bad, at all entries, while the log is away", async () => {
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
            }, { description: "the halt to be known everywhere" });
            const haltedAt = Date.now();
            for (const entry of entries) {
                const record = await requestChat(proof, entry, "label-small");
                expect([record.status, record.version]).toEqual([200, "label-small@5"]);
                expect((await requestChat(proof, entry, candidate)).outcome).toEqual("not-run");
            }
            const late = (await readEngineRuns(site)).filter(run =>
                run.asked === candidate && run.arrivedAt > haltedAt
            );
            expect(late).toEqual([]);
        }
        finally {
            await setFaults(site.getPlatformAddress("log"), { outage: "none" });
        }
        await waitUntil(async () => (await site.readStream("control")).some(({ record }) => record.kind === "halt"), {
            description: "the halt to be written once the log is back",
        });
    });

    // A runner is to be taken away, and only the VM list says so. What is sent to it after that is lost with it.
    it("stops on an upstream that the VM list calls leaving", async () => {
        const proof = getProof();
        const { site } = proof;
        const startedAt = Date.now();
        await site.setVmState("runner-1", "leaving");
        await waitUntilRemoved(proof, "runner-1");
        const knownAt = Date.now();
        for (let round = 0; round < 10; round += 1) {
            await Promise.all(entries.map(entry => requestUntilServed(proof, entry)));
        }
        const runs = (await readEngineRuns(site)).filter(run => run.runner === "runner-1");
        expect(runs.filter(run => run.arrivedAt > knownAt)).toEqual([]);
        console.log(`leaving by the VM list: known to 3 entries ${knownAt - startedAt} ms after the change`);
    });

    // A runner says of itself that it leaves, before the VM list does. An entry that has no answer from it hears so from
    // the others; without that it would send work there as soon as its own link is mended.
    it("stops on an upstream that says so itself, also at an entry that hears of it by gossip only", async () => {
        const proof = getProof();
        const { site } = proof;
        await site.setLinkFaults("entry-3", "runner-2", { freeze: true });
        const startedAt = Date.now();
        await setFaults(site.getUpstreamOrThrow("runner-2").getAddress(), { leaving: true });
        await waitUntilRemoved(proof, "runner-2");
        console.log(`leaving by its own report and gossip: known to 3 entries after ${Date.now() - startedAt} ms`);
        const before = await readDispatches(proof, "runner-2");
        await site.setLinkFaults("entry-3", "runner-2", { freeze: false });
        for (let round = 0; round < 10; round += 1) {
            await Promise.all(entries.map(entry => requestUntilServed(proof, entry)));
        }
        expect(await readDispatches(proof, "runner-2")).toEqual(before);
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
 * Asks as a caller does: again while the entry says that nothing ran and when to come back, as it may on a busy machine.
 * Any other refusal fails the test.
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
    }, { description: `all entries to know that ${runner} leaves` });
}

/** Counts how often entries sent work to a runner. */
async function readDispatches(proof: ProofSite, runner: string): Promise<number> {
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
