import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { createRunKey, getPartition } from "../../src/claims/index.js";
import { maxRecordBytes } from "../../src/log/index.js";
import { type ClaimNode, createClaimNode } from "../fixtures/claimNodes.js";
import { MemoryLog } from "../fixtures/memoryLog.js";
import { waitUntil } from "../fixtures/waiting.js";

const partitions = 2;
const key = createRunKey("dalisay", "label-1");
const stream = `claims-${getPartition(key, partitions)}`;
/** Timeout of claims that are expected to fail. */
const decisionTimeoutMilliseconds = 200;
const nodes: ClaimNode[] = [];

function createNode(
    log: MemoryLog,
    options: { name: string; snapshotIntervalMilliseconds?: number; decisionTimeoutMilliseconds?: number; },
): ClaimNode {
    const node = createClaimNode({ log, ...options });
    nodes.push(node);
    return node;
}

function claim(node: ClaimNode, requestId: string) {
    return node.client.claim({ key, value: requestId, requestId });
}

function countRecords(log: MemoryLog, kind: string): number {
    return log.getEntries(stream).filter(entry => entry.record.kind === kind).length;
}

describe("Collector", () => {
    afterEach(async () => {
        await Promise.all(nodes.splice(0).map(node => node.stop()));
    });

    describe("decide", () => {
        it("appends claims that arrive together in one record", async () => {
            const log = new MemoryLog();
            const node = createNode(log, { name: "a" });
            const attempts = [];
            for (let index = 0; index < 50; index += 1) {
                attempts.push(node.client.claim({ key: createRunKey("w", `${index}`), value: "v", requestId: "r" }));
            }
            await Promise.all(attempts);
            const records = log.getEntries("claims-0").length + log.getEntries("claims-1").length;
            expect(records).toEqual(partitions);
        });

        // Guards against a blocked partition: characters of some scripts take three bytes. If records were limited by
        // characters, they could exceed the limit of the log, would be rejected for ever, and no claim of the partition
        // would be decided.
        it("keeps records below the log's limit in bytes", async () => {
            const log = new MemoryLog();
            const node = createNode(log, { name: "a" });
            const attempts = [];
            for (let index = 0; index < 30; index += 1) {
                const value = "\u6d88".repeat(5_000);
                attempts.push(node.client.claim({ key: createRunKey("w", `${index}`), value, requestId: "r" }));
            }
            const claimed = await Promise.all(attempts);
            expect(claimed.every(result => result.isOk())).toEqual(true);
            for (const entry of [...log.getEntries("claims-0"), ...log.getEntries("claims-1")]) {
                expect(Buffer.byteLength(JSON.stringify(entry.record)) <= maxRecordBytes).toEqual(true);
            }
        });

        it("appends no record for a key that is held", async () => {
            const log = new MemoryLog();
            const node = createNode(log, { name: "a" });
            await claim(node, "r1");
            const before = log.getEntries(stream).length;
            expect((await claim(node, "r2"))._unsafeUnwrap().kind).toEqual("held");
            expect(log.getEntries(stream).length).toEqual(before);
        });
    });

    describe("after a gap", () => {
        // Guards against a second run: the record of a claim has expired from the log before a new VM could read it.
        // The VM must refuse claims until its state is complete.
        it("decides nothing while claims may be missing", async () => {
            const log = new MemoryLog();
            await claim(createNode(log, { name: "old" }), "r1");
            log.put(stream, { id: "x", kind: "other", format: 1, writer: "test", body: {} });
            log.expire(stream, 1);
            const claimed = await claim(createNode(log, { name: "fresh", decisionTimeoutMilliseconds }), "r2");
            expect(claimed.isErr()).toEqual(true);
        });

        // Guards against a second run: if a VM with an incomplete state wrote a snapshot, other VMs would use it as the
        // complete state and grant the missing keys again.
        it("writes no snapshot while claims may be missing", async () => {
            const log = new MemoryLog();
            await claim(createNode(log, { name: "old" }), "r1");
            log.put(stream, { id: "x", kind: "other", format: 1, writer: "test", body: {} });
            log.expire(stream, 1);
            const fresh = createNode(log, {
                name: "fresh",
                decisionTimeoutMilliseconds,
                snapshotIntervalMilliseconds: 20,
            });
            fresh.clock.advance(1_000);
            expect((await claim(fresh, "r2")).isErr()).toEqual(true);
            expect(countRecords(log, "claims-snapshot")).toEqual(0);
        });

        it("continues from a snapshot that was written before the expiry", async () => {
            const log = new MemoryLog();
            const old = createNode(log, { name: "old", snapshotIntervalMilliseconds: 20 });
            await claim(old, "r1");
            await waitUntil(() => {
                old.clock.advance(1_000);
                return countRecords(log, "claims-snapshot") > 0;
            }, "a snapshot was written");
            log.expire(stream, 1);
            const claimed = await claim(createNode(log, { name: "fresh" }), "r2");
            expect(claimed._unsafeUnwrap().kind).toEqual("held");
        });

        // Guards against an endless loop: a snapshot writer was paused, its snapshot arrives late, and records between
        // the offset that it covers and the first readable one have expired. Applying it would lead to the same gap
        // again, and the VM would keep rereading the stream.
        it("does not apply a snapshot that omits records", async () => {
            const log = new MemoryLog();
            log.put(stream, { id: "x", kind: "other", format: 1, writer: "test", body: {} });
            const writer = createNode(log, { name: "old", snapshotIntervalMilliseconds: 20 });
            await waitUntil(() => {
                writer.clock.advance(1_000);
                return countRecords(log, "claims-snapshot") > 0;
            }, "a snapshot without the claim was written");
            await writer.stop();
            const snapshots = log.getEntries(stream).filter(entry => entry.record.kind === "claims-snapshot");
            await claim(createNode(log, { name: "claimant" }), "r1");
            const late = log.put(stream, { ...snapshots[0].record, id: "late" });
            log.expire(stream, late.offset);
            const fresh = createNode(log, { name: "fresh", decisionTimeoutMilliseconds });
            expect((await claim(fresh, "r2")).isErr()).toEqual(true);
            expect(fresh.lines.filter(line => line.name === "claims-restored")).toEqual([]);
        });
    });
});
