import { expect } from "earl";
import { describe, it } from "node:test";
import type { Change } from "../../src/configuration/index.js";
import type { EventLine } from "../../src/events/index.js";
import { callJson, type ChatRecord, getApiKey, readEngineRuns, waitUntil } from "../../src/testbench/index.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entry = "entry-3";
const collectors = ["entry-1", "entry-2"];
const small = "label-small@5";
const sessionCount = 16;

describe("A request that waits between its plan and its dispatch", () => {
    const getProof = useProofSite("127.63.13");

    // A request has its plan and waits for its session to be pinned, because the collector of the pin cannot reach the
    // log. Meanwhile the planned version is withdrawn. Without a look at the last moment the request would still run on
    // it, and a cook would get a bad label after the withdrawal is in force.
    it("does not run on a version that was withdrawn meanwhile", async () => {
        const proof = getProof();
        const round = await waitUntil(() => withdrawWhileWaiting(proof), { what: "a request held back until then" });
        expect(await findLateDispatches(proof, round.offset)).toEqual([]);
        const ran = new Set((await readEngineRuns(proof.site)).map(run => run.id.split(".")[0]));
        const refused = round.records.filter(record => record.status !== 200);
        expect(refused.length > 0).toEqual(true);
        expect(refused.filter(record => record.outcome !== "not-run" || record.text !== "")).toEqual([]);
        expect(refused.filter(record => record.requestId !== undefined && ran.has(record.requestId))).toEqual([]);
    });
});

interface Round {
    /** Where the withdrawal stands in the log. */
    readonly offset: number;
    readonly records: readonly ChatRecord[];
}

/** Withdraws the version while requests wait for their pins; undefined when none was still waiting by then. */
async function withdrawWhileWaiting(proof: ProofSite): Promise<Round | undefined> {
    const { site } = proof;
    await site.waitInForce(await site.publish(createStatus("serving")));
    for (const collector of collectors) {
        await site.setLink(collector, "log", { freeze: true });
    }
    const held = new Set<number>();
    const asks: Promise<ChatRecord>[] = [];
    for (let index = 0; index < sessionCount; index += 1) {
        held.add(index);
        asks.push(ask(proof, `held-${Math.random()}`).finally(() => held.delete(index)));
    }
    await waitUntil(async () => (await countRunning(proof)) >= held.size, { what: "all requests to be let in" });
    const offset = await site.publish(createStatus("withdrawn"));
    await site.waitInForce(offset, [entry]);
    const heldCount = held.size;
    for (const collector of collectors) {
        await site.setLink(collector, "log", { freeze: false });
    }
    const records = await Promise.all(asks);
    await site.waitInForce(offset);
    return heldCount > 0 ? { offset, records } : undefined;
}

/**
 * Finds what the entry dispatched to the version after the withdrawal came into force there. The order of the entry's
 * own events tells; by the engines' clocks a request that was on its way at that moment would look late.
 */
async function findLateDispatches(proof: ProofSite, offset: number): Promise<readonly EventLine[]> {
    const address = proof.site.getEntryOrThrow(entry).operators;
    const lines = await callJson<readonly EventLine[]>({ address, path: "/events" });
    const inForce = lines.findIndex(line =>
        line.name === "configuration-accepted" && line.offset === offset
        || line.name === "configuration-offered" && Number(line.offset) > offset
    );
    expect(inForce >= 0).toEqual(true);
    return lines.slice(inForce).filter(line => line.name === "request-dispatched" && line.version === small);
}

function createStatus(value: string): readonly Change[] {
    return [{ section: `version.${small}`, key: "status", value }];
}

/** Counts the requests that the entry has let in and not answered yet. */
async function countRunning(proof: ProofSite): Promise<number> {
    const address = proof.site.getEntryOrThrow(entry).operators;
    const status = await callJson<{ limits: { running: number; }; }>({ address, path: "/status" });
    return status.limits.running;
}

function ask(proof: ProofSite, session: string): Promise<ChatRecord> {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callers,
        key: getApiKey("commissary"),
        session,
        model: "label-small",
        text: "Does the pastry hold sesame?",
        maximumTokens: 8,
        boundMilliseconds: 20_000,
    });
}
