import { expect } from "earl";
import { describe, it } from "node:test";
import { rolloutRecordKinds } from "../../src/control/index.js";
import type { EventLine } from "../../src/events/index.js";
import {
    callJson,
    type ChatRecord,
    getApiKey,
    getJournal,
    metroManila,
    readEngineRuns,
    setFaults,
    type SiteVersion,
    waitUntil,
} from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
/** The entry that has nothing to compare a settled version with, and so cannot judge one. */
const entryWithoutHistory = "entry-3";
const windowSeconds = 10;
/** Ratings older than the window before a version turns bad; the test of versions needs a hundred. */
const minRatings = 130;
const concurrentCalls = 6;

const medium = metroManila.versions[1];
const small = metroManila.versions[2];
const versions: readonly SiteVersion[] = [
    ...metroManila.versions.slice(0, 3),
    { ...medium, id: "label-medium@8", status: "candidate" },
    { ...medium, id: "label-medium@9", status: "candidate" },
    { ...metroManila.versions[0], id: "label-large@4", status: "candidate" },
    { ...small, id: "label-small@7", status: "candidate", quality: 0.9, classQualities: {} },
];

describe("A version that is judged", () => {
    const getProof = useProofSite("127.63.8", {
        versions,
        // On a busy machine answers are late now and then, which must not halt a version that is as it should be.
        workspaces: [
            createWorkspace("commissary", "*"),
            createWorkspace("banquet", "label-medium@2, label-medium@9, label-small"),
        ],
        entrySettings: { timing: { settled_window_s: String(windowSeconds) } },
        perEntrySettings: { [entryWithoutHistory]: { timing: { settled_window_s: "86400" } } },
    });

    // An operator shortens the stages of a roll-out that is under way. If entries kept the rules of its start, callers would
    // wait for the better version as if nothing had been published; and a rule made stricter would protect nobody.
    it("is judged by the rules of the newest configuration, also in a roll-out under way", async () => {
        const proof = getProof();
        const { site } = proof;
        const rollout = "label-large@4";
        await startRollout(proof, rollout, "label-large@3", [0.5, 1]);
        const section = "rollout.label-large";
        const rules = [{ section, key: "stage_minimum_s", value: "1" }, { section, key: "missed_rate", value: "0.5" }];
        await site.waitUntilApplied(await site.publish(rules));
        await waitUntil(async () => {
            await requestEverywhere(proof, "label-large");
            const { rollouts } = await site.getStatus("entry-1");
            return rollouts.some(({ id, stage }) => id === rollout && stage === 1);
        }, { description: "the second stage, sooner than the default of a minute allows" });
    });

    // A version was rolled out to everybody and served well. Then its answers turn bad, and kitchen staff read wrong
    // declarations until somebody notices. No entry may give it new work after that; callers get the newest version
    // before it that their workspace allows.
    it("is halted at all entries, and callers get the last good version that they may use", async () => {
        const proof = getProof();
        await finishRollout(proof, "label-medium@8", "label-medium@2");
        await finishRollout(proof, "label-medium@9", "label-medium@8");
        await collectEarlierRatings(proof, "label-medium", "label-medium@9");
        await degradeVersion(proof, "label-medium@9");
        await requestUntilHalted(proof, "label-medium", "label-medium@9");
        const haltedAt = Date.now();
        for (const entry of entries) {
            expect((await requestChat(proof, entry, "label-medium")).version).toEqual("label-medium@8");
            expect((await requestChat(proof, entry, "label-medium", "banquet")).version).toEqual("label-medium@2");
        }
        expect(await readLateRuns(proof, "label-medium@9", haltedAt)).toEqual([]);
    });

    // The log is away, and one entry has started too lately to know how the version used to be. It would give callers
    // the bad version for as long as it cannot judge by itself; the halt of another entry has to reach it by gossip.
    it("is halted at an entry that cannot judge it, by gossip alone", async () => {
        const proof = getProof();
        const { site } = proof;
        const version = "label-small@7";
        await finishRollout(proof, version, "label-small@5");
        await collectEarlierRatings(proof, "label-small", version);
        await setFaults(site.getPlatformAddress("log"), { outage: "drop" });
        try {
            await degradeVersion(proof, version);
            await requestUntilHalted(proof, "label-small", version);
            const haltedAt = Date.now();
            expect((await requestChat(proof, entryWithoutHistory, "label-small")).version).toEqual("label-small@5");
            expect(await readLateRuns(proof, version, haltedAt)).toEqual([]);
            expect(await countEvents(proof, entryWithoutHistory, "version-halted", version)).toEqual(0);
            expect(await countAtEvaluators(proof, "version-halted", version) > 0).toEqual(true);
            // The entries that judge hold it back first, since that needs less evidence.
            expect(await countAtEvaluators(proof, "version-held", version) > 0).toEqual(true);
        }
        finally {
            await setFaults(site.getPlatformAddress("log"), { outage: "none" });
        }
    });
});

function createWorkspace(name: string, allowed: string) {
    const settings = { allowed, target_quality: "0.6", request_class: "kitchen-query", first_token_ms: "60000" };
    return { name, settings };
}

async function append({ site }: ProofSite, kind: string, body: object): Promise<void> {
    await site.append("control", { id: `${kind}-${Math.random()}`, kind, format: 1, writer: "test", body });
}

async function startRollout(
    proof: ProofSite,
    candidate: string,
    baseline: string,
    stages: readonly number[],
): Promise<void> {
    const model = candidate.slice(0, candidate.indexOf("@"));
    const body = { rollout: candidate, model, candidate, baseline, stages, budget: 300, startedBy: "test" };
    await append(proof, rolloutRecordKinds.start, body);
}

/** Rolls a version out to everybody at once, as an operator in a hurry does. */
async function finishRollout(proof: ProofSite, candidate: string, baseline: string): Promise<void> {
    const { site } = proof;
    await startRollout(proof, candidate, baseline, [1]);
    await waitUntil(async () => {
        // Where two entries take the lease at once the fold accepts the first; a finish under the other fence does nothing.
        const takes = (await site.readStream("control")).filter(({ record }) => record.kind === "lease-take");
        for (const { offset: fence } of takes) {
            await append(proof, rolloutRecordKinds.finish, { rollout: candidate, fence });
        }
        const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
        return states.every(({ rollouts }) =>
            rollouts.some(({ id, state }) => id === candidate && state === "finished")
        );
    }, { description: `the roll-out of ${candidate} to be finished everywhere` });
}

/** Asks until the version has enough ratings that are older than the window. */
async function collectEarlierRatings(proof: ProofSite, model: string, version: string): Promise<void> {
    await waitUntil(async () => {
        await requestEverywhere(proof, model);
        const ratings = await getJournal<{ readonly version: string; readonly time: number; }>(
            proof.site.getPlatformAddress("rating"),
        );
        const since = Date.now() - 1.2 * windowSeconds * 1000;
        return ratings.filter(rating => rating.version === version && rating.time < since).length >= minRatings;
    }, { description: `${version} to have been rated for a while`, timeoutMilliseconds: 60_000 });
}

async function degradeVersion({ site }: ProofSite, version: string): Promise<void> {
    for (const [name, runner] of site.getUpstreams()) {
        if (name.startsWith("runner")) {
            await setFaults(runner.getAddress(), { version, "quality": 0.1, "class": "kitchen-query" });
        }
    }
}

async function requestUntilHalted(proof: ProofSite, model: string, version: string): Promise<void> {
    await waitUntil(async () => {
        await requestEverywhere(proof, model);
        const states = await Promise.all(entries.map(entry => proof.site.getStatus(entry)));
        return states.every(({ versions }) => versions.some(({ id, halted }) => id === version && halted));
    }, { description: `the halt of ${version} to be known everywhere`, timeoutMilliseconds: 60_000 });
}

async function requestEverywhere(proof: ProofSite, model: string): Promise<void> {
    const calls = Array.from(
        { length: concurrentCalls },
        (...[, index]) => requestChat(proof, entries[index % 3], model),
    );
    await Promise.all(calls);
}

function requestChat(proof: ProofSite, entry: string, model: string, workspace = "commissary"): Promise<ChatRecord> {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: getApiKey(workspace),
        model,
        text: "Does the pastry hold sesame?",
        maxTokens: 8,
        timeoutMilliseconds: 8000,
    });
}

async function readLateRuns({ site }: ProofSite, version: string, startedAt: number): Promise<readonly unknown[]> {
    return (await readEngineRuns(site)).filter(run => run.asked === version && run.arrivedAt > startedAt);
}

/** Counts what an entry has written about a version. */
async function countEvents({ site }: ProofSite, entry: string, name: string, version: string): Promise<number> {
    const { operatorAddress } = site.getEntryOrThrow(entry);
    const lines = await callJson<readonly EventLine[]>({ address: operatorAddress, path: "/events" });
    return lines.filter(line => line.name === name && line.version === version).length;
}

/** Counts what the entries that can judge have written about a version. */
async function countAtEvaluators(proof: ProofSite, name: string, version: string): Promise<number> {
    let count = 0;
    for (const entry of entries.filter(other => other !== entryWithoutHistory)) {
        count += await countEvents(proof, entry, name, version);
    }
    return count;
}
