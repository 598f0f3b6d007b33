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

    // Guards against two active holders. The holder's VM is paused for longer than the lease term, and after it resumes
    // the entry assumes that it still holds the lease. If it went on, two entries would advance one roll-out, and more
    // callers than the budget allows would get the candidate.
    it("passes to another entry while its holder is paused, and the resumed one does not act", async () => {
        const proof = getProof();
        const { site } = proof;
        const first = await waitForHolder(proof, entries);
        const others = entries.filter(entry => entry !== first);
        site.getEntryOrThrow(first).process.pause();
        await startRollout(proof, "paused");
        const second = await waitForHolder(proof, others);
        await waitUntil(async () => (await readLeaseHistory(proof)).grants.some(grant => grant.rollout === "paused"), {
            description: "a grant by the new holder",
        });
        const resumeOffset = (await site.readStream("control")).length;
        site.getEntryOrThrow(first).process.resume();
        await waitUntil(async () => (await site.getStatus(first)).holdsLease === false, {
            description: "the resumed entry to detect the loss of its lease",
        });
        await site.waitUntilReady();
        const history = await readLeaseHistory(proof);
        expect(isIncreasing(history.fencingTokens)).toEqual(true);
        expect(history.grants.filter(grant => grant.offset >= resumeOffset && grant.writer === first)).toEqual([]);
        expect(second === first).toEqual(false);
        await append(proof, rolloutRecordKinds.abort, { rollout: "paused", by: "test" });
    });

    // Guards against a stalled roll-out. The holder crashes in the middle of a roll-out. Without a new holder, no
    // further callers would get the candidate until somebody restarts that VM.
    it("passes to another entry when its holder is killed, which continues the roll-out", async () => {
        const proof = getProof();
        const { site } = proof;
        const first = await waitForHolder(proof, entries);
        await startRollout(proof, "killed");
        await waitUntil(async () => (await readLeaseHistory(proof)).grants.some(grant => grant.rollout === "killed"), {
            description: "a first grant",
        });
        const previousFencingToken = Math.max(...(await readLeaseHistory(proof)).fencingTokens);
        await site.getEntryOrThrow(first).process.kill();
        const others = entries.filter(entry => entry !== first);
        await waitForHolder(proof, others);
        await waitUntil(async () => {
            await Promise.all(others.map(entry => requestChat(proof, entry)));
            const history = await readLeaseHistory(proof);
            return history.grants.some(grant =>
                grant.rollout === "killed" && grant.fencingToken > previousFencingToken
            );
        }, { description: "a grant by the next holder" });
        await append(proof, rolloutRecordKinds.abort, { rollout: "killed", by: "test" });
        await site.startEntry(first);
        await site.waitUntilReady();
        expect(isIncreasing((await readLeaseHistory(proof)).fencingTokens)).toEqual(true);
    });

    // Guards against two holders during an outage of the log. An entry that kept its lease could not detect that
    // another entry takes it, so no entry may hold the lease.
    it("is held by no entry while the log is unavailable", async () => {
        const proof = getProof();
        const previousFencingToken = Math.max(...(await readLeaseHistory(proof)).fencingTokens);
        await setFaults(proof.site.getPlatformAddress("log"), { outage: "drop" });
        try {
            await waitUntil(async () => (await getHolders(proof, entries)).length === 0, {
                description: "no entry to hold the lease",
            });
        }
        finally {
            await setFaults(proof.site.getPlatformAddress("log"), { outage: "none" });
        }
        await waitForHolder(proof, entries);
        expect(Math.max(...(await readLeaseHistory(proof)).fencingTokens) > previousFencingToken).toEqual(true);
    });

    // Guards against false failure detection. A cut lets bytes through in one direction only. An entry that other
    // entries can reach must not be reported as dead by the one that cannot reach it. Otherwise its claims would move,
    // and its bills would be taken over while it runs.
    it("and membership report no running member as dead when a link is cut in one direction", async () => {
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
                        falseReports.push(`${entry} reports ${member.id} as dead`);
                    }
                }
            }
            pollCount += 1;
            return pollCount >= 200;
        }, { description: "200 polls" });
        expect(falseReports).toEqual([]);
        await site.setLinkFaults("entry-1", "entry-2", { oneWay: "none" });
        await site.setLinkFaults("entry-2", "entry-1", { oneWay: "none" });
        await site.waitUntilReady();
    });

    // Guards against stale orders. An order of a former holder arrives late. An engine that checks fencing tokens
    // refuses it. An engine that does not check them follows it and unloads the version. Requests that were still sent
    // to that engine would fail, or be answered by another version.
    it("makes engines that check fencing refuse old orders, and routing follows the reports of the others", async () => {
        const proof = getProof();
        const { site } = proof;
        const checkingEngine = site.getUpstreamOrThrow("runner-1").getAddress();
        const nonCheckingEngine = site.getUpstreamOrThrow("runner-2").getAddress();
        await setFaults(nonCheckingEngine, { checksFencing: false });
        const desiredVersions = ["label-large@3", "label-medium@2", "label-small@5"];
        const staleVersions = ["label-large@3"];
        const currentChannel = createChannel(900);
        const formerChannel = createChannel(800);
        for (const engine of [checkingEngine, nonCheckingEngine]) {
            const initial = await currentChannel.reconcile(createEngineControl(engine), {
                engine,
                versions: desiredVersions,
                role: "serve",
            });
            expect(initial.isOk()).toEqual(true);
        }
        const refused = await formerChannel.reconcile(createEngineControl(checkingEngine), {
            engine: checkingEngine,
            versions: staleVersions,
            role: "serve",
        });
        expect(refused.isErr() && refused.error.kind).toEqual("stale");
        const accepted = await formerChannel.reconcile(createEngineControl(nonCheckingEngine), {
            engine: nonCheckingEngine,
            versions: staleVersions,
            role: "serve",
        });
        expect(accepted._unsafeUnwrap().versions).toEqual(staleVersions);
        const previousRunCount = (await readEngineRuns(site)).length;
        for (let round = 0; round < 5; round += 1) {
            const records = await Promise.all(entries.map(entry => requestChat(proof, entry)));
            expect(records.map(record => record.status)).toEqual([200, 200, 200]);
        }
        const runs = (await readEngineRuns(site)).filter(run => run.ran !== run.asked);
        expect([runs, (await readEngineRuns(site)).length > previousRunCount]).toEqual([[], true]);
        const repaired = await currentChannel.reconcile(createEngineControl(nonCheckingEngine), {
            engine: nonCheckingEngine,
            versions: desiredVersions,
            role: "serve",
        });
        expect([...repaired._unsafeUnwrap().versions].sort()).toEqual(desiredVersions);
    });
});

interface Grant {
    readonly rollout: string;
    readonly fencingToken: number;
    readonly offset: number;
    readonly writer: string;
}

/** Folds the control stream of the log and returns the fencing tokens in order and the accepted grants. */
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
    return waitUntil(async () => (await getHolders(proof, names))[0], { description: "an entry to hold the lease" });
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
                ? err(
                    new Failure({
                        kind: "stale",
                        message: "The fencing token is stale.",
                        remedy: "Send no more orders.",
                    }),
                )
                : ok(undefined);
        },
        read: async () => ok(await callJson({ address, path: "/load" })),
    };
}
