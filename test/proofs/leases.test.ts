import { expect } from "earl";
import { err, ok } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, systemClock } from "../../src/common/index.js";
import {
    type EngineControl,
    LeaseFold,
    OrderChannel,
    RolloutFold,
    rolloutRecordKinds,
} from "../../src/control/index.js";
import { Journal } from "../../src/events/index.js";
import { call, callJson, getApiKey, readEngineRuns, setFaults, waitUntil } from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const lease = "control";

describe("The lease of roll-outs", () => {
    const getProof = useProofSite("127.63.3");

    // The holder's VM is paused for longer than the term and wakes up, sure that it still holds the lease. If it went
    // on, two entries would widen one roll-out, and more callers than the budget says would meet the candidate.
    it("passes on while its holder is paused, and the woken one does not act", async () => {
        const proof = getProof();
        const { site } = proof;
        const first = await waitForHolder(proof, entries);
        const others = entries.filter(entry => entry !== first);
        site.getEntryOrThrow(first).process.freeze();
        await startRollout(proof, "paused");
        const second = await waitForHolder(proof, others);
        await waitUntil(async () => (await readLeaseHistory(proof)).grants.some(grant => grant.rollout === "paused"), {
            description: "a grant by the new holder",
        });
        const wokenAt = (await site.readStream("control")).length;
        site.getEntryOrThrow(first).process.wake();
        await waitUntil(async () => (await site.getStatus(first)).holdsLease === false, {
            description: "the woken one to know",
        });
        await site.waitUntilReady();
        const history = await readLeaseHistory(proof);
        expect(isIncreasing(history.fencingTokens)).toEqual(true);
        expect(history.grants.filter(grant => grant.offset >= wokenAt && grant.writer === first)).toEqual([]);
        expect(second === first).toEqual(false);
        await append(proof, rolloutRecordKinds.abort, { rollout: "paused", by: "test" });
    });

    // The holder dies in the middle of a roll-out. Nobody would let further callers meet the candidate, and the
    // roll-out would stand still until somebody starts that VM again.
    it("passes on when its holder is killed, and another carries the roll-out on", async () => {
        const proof = getProof();
        const { site } = proof;
        const first = await waitForHolder(proof, entries);
        await startRollout(proof, "killed");
        await waitUntil(async () => (await readLeaseHistory(proof)).grants.some(grant => grant.rollout === "killed"), {
            description: "a first grant",
        });
        const fence = Math.max(...(await readLeaseHistory(proof)).fencingTokens);
        await site.getEntryOrThrow(first).process.kill();
        const others = entries.filter(entry => entry !== first);
        await waitForHolder(proof, others);
        await waitUntil(async () => {
            await Promise.all(others.map(entry => requestChat(proof, entry)));
            const judged = await readLeaseHistory(proof);
            return judged.grants.some(grant => grant.rollout === "killed" && grant.fencingToken > fence);
        }, { description: "a grant by the next holder" });
        await append(proof, rolloutRecordKinds.abort, { rollout: "killed", by: "test" });
        await site.startEntry(first);
        await site.waitUntilReady();
        expect(isIncreasing((await readLeaseHistory(proof)).fencingTokens)).toEqual(true);
    });

    // The log is away. Whoever believed that it holds the lease could not know of a taker, so nobody may hold it.
    it("is held by nobody while the log is away", async () => {
        const proof = getProof();
        const before = Math.max(...(await readLeaseHistory(proof)).fencingTokens);
        await setFaults(proof.site.getPlatformAddress("log"), { outage: "drop" });
        try {
            await waitUntil(async () => (await getHolders(proof, entries)).length === 0, {
                description: "nobody to hold it",
            });
        }
        finally {
            await setFaults(proof.site.getPlatformAddress("log"), { outage: "none" });
        }
        await waitForHolder(proof, entries);
        expect(Math.max(...(await readLeaseHistory(proof)).fencingTokens) > before).toEqual(true);
    });

    // A cut lets bytes through one way only. An entry that is heard of by others must not be called dead by the one
    // that cannot reach it: its claims would move, and its bills would be taken over while it lives.
    it("and membership see nobody falsely dead through a cut that goes one way", async () => {
        const proof = getProof();
        const { site } = proof;
        await site.waitUntilReady();
        await site.setLinkFaults("entry-1", "entry-2", { oneWay: "to-target" });
        await site.setLinkFaults("entry-2", "entry-1", { oneWay: "from-target" });
        const falseReports: string[] = [];
        let pollCount = 0;
        await waitUntil(async () => {
            for (const entry of entries) {
                for (const member of (await site.getStatus(entry)).members) {
                    if (member.state === "dead") {
                        falseReports.push(`${entry} calls ${member.id} dead`);
                    }
                }
            }
            pollCount += 1;
            return pollCount >= 200;
        }, { description: "enough looks" });
        expect(falseReports).toEqual([]);
        await site.setLinkFaults("entry-1", "entry-2", { oneWay: "none" });
        await site.setLinkFaults("entry-2", "entry-1", { oneWay: "none" });
        await site.waitUntilReady();
    });

    // A former holder's order arrives late. An engine that checks fencing refuses it; another one obeys and unloads the
    // version. Requests that were still sent to it would fail, or be answered by another version.
    it("keeps old orders out where engines check, and routing goes by what the others report", async () => {
        const proof = getProof();
        const { site } = proof;
        const checking = site.getUpstreamOrThrow("runner-1").getAddress();
        const obeying = site.getUpstreamOrThrow("runner-2").getAddress();
        await setFaults(obeying, { checksFencing: false });
        const desired = ["label-large@3", "label-medium@2", "label-small@5"];
        const stale = ["label-large@3"];
        const present = createChannel(900);
        const former = createChannel(800);
        for (const engine of [checking, obeying]) {
            const reached = await present.reconcile(createEngineControl(engine), {
                engine,
                versions: desired,
                role: "serve",
            });
            expect(reached.isOk()).toEqual(true);
        }
        const refused = await former.reconcile(createEngineControl(checking), {
            engine: checking,
            versions: stale,
            role: "serve",
        });
        expect(refused.isErr() && refused.error.kind).toEqual("stale");
        const obeyed = await former.reconcile(createEngineControl(obeying), {
            engine: obeying,
            versions: stale,
            role: "serve",
        });
        expect(obeyed._unsafeUnwrap().versions).toEqual(stale);
        const before = (await readEngineRuns(site)).length;
        for (let round = 0; round < 5; round += 1) {
            const records = await Promise.all(entries.map(entry => requestChat(proof, entry)));
            expect(records.map(record => record.status)).toEqual([200, 200, 200]);
        }
        const runs = (await readEngineRuns(site)).filter(run => run.ran !== run.asked);
        expect([runs, (await readEngineRuns(site)).length > before]).toEqual([[], true]);
        const mended = await present.reconcile(createEngineControl(obeying), {
            engine: obeying,
            versions: desired,
            role: "serve",
        });
        expect([...mended._unsafeUnwrap().versions].sort()).toEqual(desired);
    });
});

interface Grant {
    readonly rollout: string;
    readonly fencingToken: number;
    readonly offset: number;
    readonly writer: string;
}

/** Folds the log's own record: the fences in their order, and the grants that were accepted. */
async function readLeaseHistory(
    proof: ProofSite,
): Promise<{ readonly fencingTokens: readonly number[]; readonly grants: readonly Grant[]; }> {
    const leases = new LeaseFold();
    const rollouts = new RolloutFold({
        isCurrentFencingToken: fencingToken => leases.isCurrentFencingToken(lease, fencingToken),
    });
    const fencingTokens: number[] = [];
    const grants: Grant[] = [];
    leases.onChange(state => {
        if (fencingTokens.at(-1) !== state.fence) {
            fencingTokens.push(state.fence);
        }
    });
    for (const entry of await proof.site.readStream("control")) {
        leases.apply(entry);
        const decision = rollouts.apply(entry);
        if (entry.record.kind === rolloutRecordKinds.grant && decision?.accepted === true) {
            const { rollout, fence: fencingToken } = entry.record.body as { rollout: string; fence: number; };
            grants.push({ rollout, fencingToken, offset: entry.offset, writer: entry.record.writer });
        }
    }
    return { fencingTokens, grants };
}

function isIncreasing(numbers: readonly number[]): boolean {
    return numbers.every((number, index) => index === 0 || number > numbers[index - 1]);
}

async function getHolders(proof: ProofSite, names: readonly string[]): Promise<readonly string[]> {
    const holders: string[] = [];
    for (const name of names) {
        if ((await proof.site.getStatus(name)).holdsLease) {
            holders.push(name);
        }
    }
    return holders;
}

function waitForHolder(proof: ProofSite, names: readonly string[]): Promise<string> {
    return waitUntil(async () => (await getHolders(proof, names))[0], { description: "somebody to hold the lease" });
}

async function append(proof: ProofSite, kind: string, body: object): Promise<void> {
    await proof.site.append("control", { id: `${kind}-${Math.random()}`, kind, format: 1, writer: "test", body });
}

function startRollout(proof: ProofSite, rollout: string): Promise<void> {
    return append(proof, rolloutRecordKinds.start, {
        rollout,
        model: "label-small",
        candidate: "label-small@6",
        baseline: "label-small@5",
        stages: [0.5, 1],
        budget: [100, 400],
        startedBy: "test",
    });
}

function requestChat(proof: ProofSite, entry: string) {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: getApiKey("banquet"),
        model: "label-small",
        text: "Which trays are ready?",
        maxTokens: 8,
        timeoutMilliseconds: 5000,
    });
}

function createChannel(fencingToken: number): OrderChannel {
    const journal = new Journal({ process: "test", clock: systemClock, write: () => undefined });
    return new OrderChannel({ getFencingToken: () => fencingToken, clock: systemClock, journal });
}

function createEngineControl(address: string): EngineControl {
    return {
        order: async order => {
            const reply = await call({ address, path: "/orders", method: "POST", body: order });
            return reply.status === 409
                ? err(new Failure({ kind: "stale", message: "The fence is old.", remedy: "Stop ordering." }))
                : ok(undefined);
        },
        read: async () => ok(await callJson({ address, path: "/load" })),
    };
}
