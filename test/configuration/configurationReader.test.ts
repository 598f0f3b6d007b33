import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import {
    type Change,
    ConfigurationFold,
    ConfigurationReader,
    createSnapshotRecord,
    SnapshotWriter,
} from "../../src/configuration/index.js";
import { Journal } from "../../src/events/index.js";
import { LogClient } from "../../src/log/index.js";
import { MemoryLog, waitFor } from "../log/memoryLog.js";
import { createPublication, smallTree } from "./records.js";

const startedReaders: ConfigurationReader[] = [];

function createReader(log: MemoryLog) {
    const clock = new ManualClock();
    const names: string[] = [];
    const priorities: (number | undefined)[] = [];
    const client = new LogClient({ url: "http://127.20.3.1:1", clock, send: log.send });
    const reader = new ConfigurationReader({
        client,
        clock,
        journal: new Journal({ process: "test", clock, write: line => names.push(line.name) }),
        onChange: configuration => priorities.push(getPriority(configuration)),
    });
    startedReaders.push(reader);
    return { reader, client, clock, names, priorities };
}

// A reader that still runs after a failed test would keep the test process alive.
afterEach(async () => {
    for (const reader of startedReaders.splice(0)) {
        await reader.stop();
    }
});

function getPriority(configuration: ReturnType<ConfigurationReader["getConfiguration"]>): number | undefined {
    return configuration.getEffective({ workspace: "bench" }).map(effective => effective.priority).unwrapOr(undefined);
}

function setPriority(value: number): Change {
    return { section: "workspace.bench", key: "priority", value: String(value) };
}

/** Appends the small tree at offset 0 and then one priority change for each value. */
function fillLog(log: MemoryLog, ...values: readonly number[]): void {
    log.append(createPublication(smallTree));
    for (const value of values) {
        log.append(createPublication([setPriority(value)], { basedOn: log.getEntries().length }));
    }
}

/** Returns the state of a fold after the first records of the log. */
function createState(log: MemoryLog, covers: number): unknown {
    const fold = new ConfigurationFold();
    for (const entry of log.getEntries().slice(0, covers)) {
        fold.apply(entry);
    }
    return JSON.parse(JSON.stringify(fold.toSnapshot()));
}

describe("ConfigurationReader", () => {
    describe("start", () => {
        it("puts every accepted change in force, in order", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            const { reader, priorities } = createReader(log);
            reader.start();
            await waitFor(() => reader.getOffset() === 3, "the records");
            await reader.stop();
            expect(priorities).toEqual([2, 3, 4]);
            expect(reader.getAge() < Infinity).toEqual(true);
        });

        // A VM starts after the first records have expired. It must build the tree from the latest snapshot and the records
        // after it. Otherwise, it refuses its callers permanently.
        it("starts from a snapshot and its tail when earlier records have expired", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            log.append(createSnapshotRecord(2, createState(log, 2), "holder"));
            fillLog(log, 7);
            log.expireBefore(2);
            const { reader, names } = createReader(log);
            reader.start();
            await waitFor(() => reader.getOffset() === 6, "the tail");
            await reader.stop();
            expect(reader.exportState().state).toEqual(createState(log, 6));
            expect(names.filter(name => name.startsWith("configuration-g") || name.startsWith("configuration-reco")))
                .toEqual(["configuration-gap", "configuration-recovered"]);
        });

        // The records between the snapshot and the earliest retained record have expired too. Folding on would lose their
        // changes.
        it("does not start from a snapshot that does not reach the earliest retained record", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4, 5);
            log.append(createSnapshotRecord(1, createState(log, 1), "holder"));
            log.expireBefore(3);
            const { reader, names } = createReader(log);
            reader.start();
            await waitFor(() => names.includes("configuration-incomplete"), "the report");
            await reader.stop();
            expect(reader.getOffset()).toEqual(0);
            expect(reader.getAge()).toEqual(Infinity);
        });

        // A lease holder is paused between creating a snapshot and appending it, and changes are accepted in the meantime. If
        // readers adopted the snapshot, they would lose these changes.
        it("is not reverted by a snapshot that a slow writer appended late", async () => {
            const log = new MemoryLog();
            fillLog(log, 3);
            const old = createState(log, 1);
            log.append(createSnapshotRecord(1, old, "slow"));
            const { reader, priorities } = createReader(log);
            reader.start();
            await waitFor(() => reader.getOffset() === 3, "the records");
            await reader.stop();
            expect(priorities).toEqual([2, 3]);
        });

        // A node was partitioned from the log for longer than the log retains records, and no snapshot was written. The node
        // keeps its configuration but must not report it as up to date: the gap may contain a withdrawal.
        it("keeps its configuration, unconfirmed, when no snapshot covers a gap", async () => {
            const log = new MemoryLog();
            fillLog(log, 3);
            const { reader, clock, names } = createReader(log);
            reader.start();
            await waitFor(() => reader.getAge() === 0, "the confirmation");
            log.setDown(true);
            await waitFor(() => names.includes("log-lost"), "the outage");
            clock.advance(5_000);
            for (const value of [4, 5, 6]) {
                log.append(createPublication([setPriority(value)], { basedOn: log.getEntries().length }));
            }
            log.expireBefore(4);
            log.setDown(false);
            await waitFor(() => names.includes("configuration-incomplete"), "the report");
            await reader.stop();
            expect(getPriority(reader.getConfiguration())).toEqual(3);
            expect(reader.getAge() >= 5_000).toEqual(true);
        });
    });

    describe("importState", () => {
        it("adopts a newer state while the log is unavailable, and continues from it afterwards", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            const { reader, priorities } = createReader(log);
            expect(reader.importState(createState(log, 2), 2)).toEqual(true);
            reader.start();
            await waitFor(() => reader.getOffset() === 3, "the tail");
            await reader.stop();
            expect(priorities).toEqual([3, 4]);
        });

        // A peer that was restarted, or that reports a wrong offset, sends an older state. If it were adopted, a withdrawn
        // version would answer again.
        it("refuses a state that is not newer, even if the peer reports a newer offset", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            const { reader } = createReader(log);
            reader.importState(createState(log, 3), 3);
            expect(reader.importState(createState(log, 2), 2)).toEqual(false);
            expect(reader.importState(createState(log, 3), 3)).toEqual(false);
            expect(reader.importState(createState(log, 2), 9)).toEqual(false);
            expect(reader.importState({ format: 2 }, 9)).toEqual(false);
            expect(getPriority(reader.getConfiguration())).toEqual(4);
        });

        it("fills a gap that no snapshot in the log covers", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4, 5);
            log.expireBefore(2);
            const { reader, names } = createReader(log);
            reader.start();
            await waitFor(() => names.includes("configuration-incomplete"), "the report");
            expect(reader.importState(createState(log, 3), 3)).toEqual(true);
            await waitFor(() => reader.getAge() < Infinity, "the confirmation");
            await reader.stop();
            expect(getPriority(reader.getConfiguration())).toEqual(5);
        });

        // The log was replaced by an empty one, or its URL is wrong. Reading it to the end must not confirm the configuration:
        // the entry would accept work with a configuration that the log does not contain.
        it("is not confirmed by a log that ends before the imported state", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            const { reader, names } = createReader(new MemoryLog());
            reader.importState(createState(log, 3), 3);
            reader.start();
            await waitFor(() => names.includes("configuration-ahead"), "the report");
            await reader.stop();
            expect(reader.getAge()).toEqual(Infinity);
        });
    });

    describe("confirm", () => {
        it("never increases the age of the configuration", () => {
            const { reader, clock } = createReader(new MemoryLog());
            clock.advance(1_000);
            reader.confirm(900);
            reader.confirm(100);
            expect(reader.getAge()).toEqual(100);
        });
    });
});

describe("SnapshotWriter", () => {
    describe("writeIfDue", () => {
        it("writes a snapshot after the interval or the maximum number of records, and a new reader starts from it", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            const { reader, client, clock } = createReader(log);
            const writer = new SnapshotWriter({
                client,
                reader,
                clock,
                writer: "w",
                intervalMilliseconds: 1_000,
                maxRecords: 9,
            });
            expect((await writer.writeIfDue())._unsafeUnwrap()).toEqual(undefined);
            reader.start();
            await waitFor(() => reader.getOffset() === 3, "the records");
            expect((await writer.writeIfDue())._unsafeUnwrap()).toEqual(3);
            await waitFor(() => reader.getOffset() === 4, "the snapshot");
            expect((await writer.writeIfDue())._unsafeUnwrap()).toEqual(undefined);
            clock.advance(1_000);
            expect((await writer.writeIfDue())._unsafeUnwrap()).toEqual(4);
            await waitFor(() => reader.getOffset() === 5, "the second snapshot");
            await reader.stop();
            log.expireBefore(4);
            const fresh = createReader(log).reader;
            fresh.start();
            await waitFor(() => fresh.getOffset() === 5, "the fresh reader");
            await fresh.stop();
            expect(fresh.exportState()).toEqual(reader.exportState());
        });
    });
});
