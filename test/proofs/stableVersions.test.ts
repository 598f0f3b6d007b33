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
/** The entry without earlier ratings of a stable version, which therefore cannot evaluate it. */
const entryWithoutHistory = "entry-3";
const windowSeconds = 10;
/** Required number of ratings older than the window before a version degrades; the statistical test needs 100. */
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

describe("A version that is evaluated", () => {
    const getProof = useProofSite("127.63.8", {
        versions,
        // On a busy machine some answers are late, which must not halt a good version.
        workspaces: [
            createWorkspace("commissary", "*"),
            createWorkspace("banquet", "label-medium@2, label-medium@9, label-small"),
        ],
        entrySettings: { timing: { settled_window_s: String(windowSeconds) } },
        perEntrySettings: { [entryWithoutHistory]: { timing: { settled_window_s: "86400" } } },
    });

    // Guards against outdated rules in a roll-out that is in progress. An operator shortens the stages. If entries kept
    // the rules from the start of the roll-out, callers would get the better version no sooner, and a stricter rule
    // would have no effect.
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
        }, { description: "the second stage before the default minimum of a minute" });
    });

    // Guards against a stable version that degrades unnoticed. A version has been rolled out to all callers and served
    // well, and then its answers become wrong. Kitchen staff would read wrong declarations until somebody notices.
    // After the halt no entry may send it new work, and callers get the newest earlier version that their workspace
    // allows.
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

    // Guards against a degraded version at an entry without history. The log is unavailable, and one entry has no
    // earlier ratings of the version. Since it cannot evaluate the version itself, it would go on serving it. The halt
    // of another entry must reach it by gossip.
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
            // The evaluating entries hold the version first, since that requires less evidence than a halt.
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

/** Rolls a version out to all callers in a single stage and waits until the roll-out is finished everywhere. */
async function finishRollout(proof: ProofSite, candidate: string, baseline: string): Promise<void> {
    const { site } = proof;
    await startRollout(proof, candidate, baseline, [1]);
    await waitUntil(async () => {
        // When two entries take the lease concurrently, the fold accepts the first. A finish with the other fencing
        // token has no effect.
        const takes = (await site.readStream("control")).filter(({ record }) => record.kind === "lease-take");
        for (const { offset: fencingToken } of takes) {
            await append(proof, rolloutRecordKinds.finish, { rollout: candidate, fence: fencingToken });
        }
        const states = await Promise.all(entries.map(entry => site.getStatus(entry)));
        return states.every(({ rollouts }) =>
            rollouts.some(({ id, state }) => id === candidate && state === "finished")
        );
    }, { description: `the roll-out of ${candidate} to be finished everywhere` });
}

/** Sends requests until the version has enough ratings that are older than the window. */
async function collectEarlierRatings(proof: ProofSite, model: string, version: string): Promise<void> {
    await waitUntil(async () => {
        await requestEverywhere(proof, model);
        const ratings = await getJournal<{ readonly version: string; readonly time: number; }>(
            proof.site.getPlatformAddress("rating"),
        );
        const since = Date.now() - 1.2 * windowSeconds * 1000;
        return ratings.filter(rating => rating.version === version && rating.time < since).length >= minRatings;
    }, { description: `${version} to have enough earlier ratings`, timeoutMilliseconds: 60_000 });
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
    }, { description: `all entries to report the halt of ${version}`, timeoutMilliseconds: 60_000 });
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

/** Counts the events with a name that an entry has written about a version. */
async function countEvents({ site }: ProofSite, entry: string, name: string, version: string): Promise<number> {
    const { operatorAddress } = site.getEntryOrThrow(entry);
    const lines = await callJson<readonly EventLine[]>({ address: operatorAddress, path: "/events" });
    return lines.filter(line => line.name === name && line.version === version).length;
}

/** Counts the events with a name that the evaluating entries have written about a version. */
async function countAtEvaluators(proof: ProofSite, name: string, version: string): Promise<number> {
    let count = 0;
    for (const entry of entries.filter(other => other !== entryWithoutHistory)) {
        count += await countEvents(proof, entry, name, version);
    }
    return count;
}
