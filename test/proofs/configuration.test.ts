import { expect } from "earl";
import { after, describe, it } from "node:test";
import { OperatorSession } from "../../src/command/operatorSession.js";
import { systemClock } from "../../src/common/index.js";
import { type Change, ConfigurationFold, createSnapshotRecord } from "../../src/configuration/index.js";
import type { EventLine } from "../../src/events/index.js";
import type { LogPage } from "../../src/log/index.js";
import { callJson, setFaults, waitUntil } from "../../src/testbench/index.js";
import { ConfigurationWatch } from "./configurationWatch.js";
import { type ProofSite, useProofSite } from "./fixtures.js";

const entries = ["entry-1", "entry-2", "entry-3"];
const versions = ["label-large@3", "label-medium@2", "label-small@5"];

describe("An accepted configuration", () => {
    const getProof = useProofSite("127.63.1", {
        entrySettings: { timing: { snapshot_interval_ms: "1000" } },
    });

    after(() => Promise.all(operators.map(operator => operator.close())));

    // Guards against lost updates. Two operators change the same price at the same time, each based on the tree that it
    // has read. If both changes were accepted, one would be reverted silently. If entries decided differently, callers
    // would be billed at two prices.
    it("is the first of two concurrent ones, on every entry; the other author receives a rejection", async () => {
        const proof = getProof();
        const first = await openOperator(proof, "first");
        const second = await openOperator(proof, "second");
        for (let round = 0; round < 5; round += 1) {
            const basedOn = Math.min(first.reader.getOffset(), second.reader.getOffset());
            const results = await Promise.all([
                first.publish([createPrice(`1.${round}`)], basedOn, "race"),
                second.publish([createPrice(`2.${round}`)], basedOn, "race"),
            ]);
            const [left, right] = results.map(result => result._unsafeUnwrap());
            const [winner, loser] = left.outcome === "accepted" ? [left, right] : [right, left];
            expect([winner.outcome, loser.outcome]).toEqual(["accepted", "rejected"]);
            expect(loser.beatenBy?.author).toEqual(winner.author);
            await proof.site.waitUntilApplied(Math.max(left.offset, right.offset));
            for (const entry of entries) {
                expect(await getEventOffsets(proof, entry, 200, [left.offset, right.offset])).toEqual([winner.offset]);
                expect(await getEventOffsets(proof, entry, 201, [left.offset, right.offset])).toEqual([loser.offset]);
            }
        }
    });

    // Guards against wrong results after a lost acknowledgement. The log appends a publication, and the acknowledgement
    // is lost. If the operator's tool treated this as a failure, it would report a change as rejected that is in force.
    // If it published again, the new publication would be superseded by its own first one.
    it("is accepted once when the acknowledgement of its publication is lost", async () => {
        const proof = getProof();
        const operator = await openOperator(proof, "unlucky");
        const offsets: number[] = [];
        for (let round = 0; round < 3; round += 1) {
            await setFaults(proof.site.getPlatformAddress("log"), { lostAcknowledgements: 2 });
            const result = await operator.publish([createPrice(`3.${round}`)], operator.reader.getOffset(), "lost");
            expect(result._unsafeUnwrap().outcome).toEqual("accepted");
            offsets.push(result._unsafeUnwrap().offset);
        }
        await setFaults(proof.site.getPlatformAddress("log"), { lostAcknowledgements: 0 });
        await proof.site.waitUntilApplied(Math.max(...offsets));
        for (const entry of entries) {
            const end = offsets[offsets.length - 1] + 1;
            const all = Array.from({ length: end - offsets[0] }, (_, index) => offsets[0] + index);
            expect(await getEventOffsets(proof, entry, 200, all)).toEqual(offsets);
        }
    });

    // Guards against a configuration that is reverted by an outdated snapshot. A snapshot writer is paused and appends
    // an old state late, and then the records before it expire. An entry that starts now would find only the old state,
    // and a withdrawn version would answer again.
    it("is not reverted by a late snapshot, even when the records before it have expired", async () => {
        const proof = getProof();
        const { site } = proof;
        const withdrawal = { section: "version.label-small@5", key: "status", value: "withdrawn" };
        await site.waitUntilApplied(await site.publish([withdrawal]));
        const watch = new ConfigurationWatch(site, entries);
        const fold = new ConfigurationFold();
        for (const entry of (await site.readStream("config")).slice(0, 2)) {
            fold.apply(entry);
        }
        const lateOffset = await site.append(
            "config",
            createSnapshotRecord(fold.getOffset(), fold.toSnapshot(), "slow-writer"),
        );
        await site.waitUntilApplied(lateOffset);
        await setFaults(site.getPlatformAddress("log"), { expireBefore: { stream: "config", offset: lateOffset } });
        await restart(proof, "entry-1");
        await site.waitUntilApplied(lateOffset);
        expect(await readStatuses(proof, "entry-1")).toEqual(await readStatuses(proof, "entry-2"));
        expect((await requestChat(proof, "entry-1", "label-small")).status).not.toEqual(200);
        expect(await watch.stop()).toEqual([]);
    });

    // Guards against configuration that is lost when VMs are replaced. A new VM has no stored state. It must restore
    // the state from the snapshot and the records after it, whether entries are replaced one by one or all at once, and
    // from peers while the log is unavailable.
    it("is the same after all entries were replaced, one by one and all at once", async () => {
        const proof = getProof();
        const { site } = proof;
        const watch = new ConfigurationWatch(site, entries);
        const statuses = await readStatuses(proof, "entry-1");
        const changeOffset = await site.publish([createPrice("5.1")]);
        await site.waitUntilApplied(changeOffset);
        await waitForSnapshotAfter(proof, changeOffset);
        await site.publish([createPrice("5.2")]);
        for (const entry of entries) {
            await restart(proof, entry);
        }
        const previousOffset = (await site.getStatus("entry-1")).configurationOffset;
        const snapshotOffset = await waitForSnapshotAfter(proof, previousOffset);
        await setFaults(site.getPlatformAddress("log"), { expireBefore: { stream: "config", offset: snapshotOffset } });
        const lastOffset = await site.publish([createPrice("5.3")]);
        await Promise.all(entries.map(entry => site.getEntryOrThrow(entry).process.kill()));
        await Promise.all(entries.map(entry => site.startEntry(entry)));
        await site.waitUntilReady();
        await site.waitUntilApplied(lastOffset);
        for (const entry of entries) {
            expect(await readStatuses(proof, entry)).toEqual(statuses);
            expect((await requestChat(proof, entry)).status).toEqual(200);
        }
        await site.setLinkFaults("entry-1", "log", { cut: true });
        await restart(proof, "entry-1");
        expect(await readStatuses(proof, "entry-1")).toEqual(statuses);
        expect((await requestChat(proof, "entry-1")).status).toEqual(200);
        await site.setLinkFaults("entry-1", "log", { cut: false });
        expect(await watch.stop()).toEqual([]);
    });
});

const operators: OperatorSession[] = [];

async function openOperator(proof: ProofSite, author: string): Promise<OperatorSession> {
    const logUrl = `http://${proof.site.getPlatformAddress("log")}`;
    const operator = new OperatorSession({ logUrl, clock: systemClock, timeoutMilliseconds: 10_000, author });
    operators.push(operator);
    (await operator.open())._unsafeUnwrap();
    return operator;
}

function createPrice(price: string): Change {
    return { section: "version.label-large@3", key: "input_price", value: price };
}

/** Returns those of the given offsets for which an entry wrote an event. */
async function getEventOffsets(
    proof: ProofSite,
    entry: string,
    event: number,
    offsets: readonly number[],
): Promise<readonly unknown[]> {
    const address = proof.site.getEntryOrThrow(entry).operatorAddress;
    const lines = await callJson<readonly EventLine[]>({ address, path: "/events" });
    return lines.filter(line => line.event === event && offsets.includes(line.offset as number))
        .map(line => line.offset);
}

function requestChat(proof: ProofSite, entry: string, model = "auto") {
    return proof.caller.chat({
        entry: proof.site.getEntryOrThrow(entry).callerAddress,
        key: proof.key,
        model,
        text: "Which trays are ready?",
        maxTokens: 8,
        timeoutMilliseconds: 5000,
    });
}

async function restart(proof: ProofSite, entry: string): Promise<void> {
    await proof.site.getEntryOrThrow(entry).process.kill();
    await proof.site.startEntry(entry);
    await proof.site.waitUntilReady();
}

async function readStatuses(proof: ProofSite, entry: string): Promise<readonly string[]> {
    const status = await proof.site.getStatus(entry);
    return status.versions.filter(version => versions.includes(version.id)).map(version =>
        `${version.id} ${version.status}`
    );
}

/** Waits until the log contains a snapshot that covers an offset, and returns the snapshot's own offset. */
async function waitForSnapshotAfter(proof: ProofSite, offset: number): Promise<number> {
    return waitUntil(async () => {
        const { entries: records } = await callJson<LogPage>({
            address: proof.site.getPlatformAddress("log"),
            path: `/streams/config?from=${offset}&limit=500`,
        });
        const found = records.find(({ record }) =>
            record.kind === "snapshot" && (record.body as { covers: number; }).covers > offset
        );
        return found?.offset;
    }, { description: `a snapshot that covers ${offset}` });
}
