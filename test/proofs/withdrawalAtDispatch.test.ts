import { expect } from "earl";
import { describe, it } from "node:test";
import type { Change } from "../../src/configuration/index.js";
import type { EventLine } from "../../src/events/index.js";
import { callJson, type ChatRecord, getApiKey, readEngineRuns, waitUntil } from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entry = "entry-3";
const collectors = ["entry-1", "entry-2"];
const smallVersion = "label-small@5";
const sessionCount = 16;

describe("A request that waits between its plan and its dispatch", () => {
    const getProof = useProofSite("127.63.13");

    // Guards against work on a version that was withdrawn after planning. A request is planned and waits for the pin of
    // its session, because the pin's collector cannot reach the log. Meanwhile the planned version is withdrawn.
    // Without a check right before dispatch the request would run on it, and a cook would get a bad label after the
    // withdrawal is in force.
    it("does not run on a version that was withdrawn meanwhile", async () => {
        const proof = getProof();
        const round = await waitUntil(() => withdrawWhileWaiting(proof), {
            description: "a request that still waits when the withdrawal is in force",
        });
        expect(await findLateDispatches(proof, round.offset)).toEqual([]);
        const ran = new Set((await readEngineRuns(proof.site)).map(run => run.id.split(".")[0]));
        const refused = round.records.filter(record => record.status !== 200);
        expect(refused.length > 0).toEqual(true);
        expect(refused.filter(record => record.outcome !== "not-run" || record.text !== "")).toEqual([]);
        expect(refused.filter(record => record.requestId !== undefined && ran.has(record.requestId))).toEqual([]);
    });
});

interface WithdrawalRound {
    /** Offset of the withdrawal in the log. */
    readonly offset: number;
    readonly records: readonly ChatRecord[];
}

/** Withdraws the version while requests wait for their pins. Returns undefined when no request was still waiting then. */
async function withdrawWhileWaiting(proof: ProofSite): Promise<WithdrawalRound | undefined> {
    const { site } = proof;
    await site.waitUntilApplied(await site.publish(createStatus("serving")));
    for (const collector of collectors) {
        await site.setLinkFaults(collector, "log", { freeze: true });
    }
    const waitingRequests = new Set<number>();
    const requests: Promise<ChatRecord>[] = [];
    for (let index = 0; index < sessionCount; index += 1) {
        waitingRequests.add(index);
        requests.push(requestChat(proof, `held-${Math.random()}`).finally(() => waitingRequests.delete(index)));
    }
    await waitUntil(async () => (await countRunning(proof)) >= waitingRequests.size, {
        description: "all requests to be admitted",
    });
    const offset = await site.publish(createStatus("withdrawn"));
    await site.waitUntilApplied(offset, [entry]);
    const waitingCount = waitingRequests.size;
    for (const collector of collectors) {
        await site.setLinkFaults(collector, "log", { freeze: false });
    }
    const records = await Promise.all(requests);
    await site.waitUntilApplied(offset);
    return waitingCount > 0 ? { offset, records } : undefined;
}

/**
 * Finds the requests that the entry dispatched to the version after it applied the withdrawal. This uses the order of the
 * entry's own events; by the engines' clocks, a request that was in flight at that moment would look late.
 */
async function findLateDispatches(proof: ProofSite, offset: number): Promise<readonly EventLine[]> {
    const address = proof.site.getEntryOrThrow(entry).operatorAddress;
    const lines = await callJson<readonly EventLine[]>({ address, path: "/events" });
    const inForce = lines.findIndex(line =>
        line.name === "configuration-accepted" && line.offset === offset
        || line.name === "configuration-offered" && Number(line.offset) > offset
    );
    expect(inForce >= 0).toEqual(true);
    return lines.slice(inForce).filter(line => line.name === "request-dispatched" && line.version === smallVersion);
}

function createStatus(value: string): readonly Change[] {
    return [{ section: `version.${smallVersion}`, key: "status", value }];
}

/** Returns the number of requests that the entry has admitted and not answered yet. */
async function countRunning(proof: ProofSite): Promise<number> {
    const address = proof.site.getEntryOrThrow(entry).operatorAddress;
    const status = await callJson<{ limits: { running: number; }; }>({ address, path: "/status" });
    return status.limits.running;
}

function requestChat(proof: ProofSite, session: string): Promise<ChatRecord> {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: getApiKey("commissary"),
        session,
        model: "label-small",
        text: "Does the pastry hold sesame?",
        maxTokens: 8,
        timeoutMilliseconds: 20_000,
    });
}
