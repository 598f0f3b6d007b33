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

const started: ConfigurationReader[] = [];

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
    started.push(reader);
    return { reader, client, clock, names, priorities };
}

// A reader that a failed test left running would keep the test process from ending.
afterEach(async () => {
    for (const reader of started.splice(0)) {
        await reader.stop();
    }
});

function getPriority(configuration: ReturnType<ConfigurationReader["getConfiguration"]>): number | undefined {
    return configuration.getEffective({ workspace: "bench" }).map(effective => effective.priority).unwrapOr(undefined);
}

function setPriority(value: number): Change {
    return { section: "workspace.bench", key: "priority", value: String(value) };
}

/** Appends the small tree at offset 0 and then one change of a priority for each value. */
function fillLog(log: MemoryLog, ...values: readonly number[]): void {
    log.append(createPublication(smallTree));
    for (const value of values) {
        log.append(createPublication([setPriority(value)], { basedOn: log.getEntries().length }));
    }
}

/** Makes the state that a fold of the log's first records has. */
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

        // A VM starts after the first records have expired. It must build the tree from the newest snapshot and what
        // follows it, or its callers are refused for good.
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

        // The records between a snapshot and the oldest kept one are gone too. Folding on would lose their changes.
        it("does not start from a snapshot that does not reach the oldest record", async () => {
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

        // A lease holder was paused between taking a snapshot and appending it, and meanwhile changes were accepted.
        it("is not taken back by a snapshot that a slow writer appended late", async () => {
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

        // A node was cut off for longer than the log keeps records, and nobody wrote a snapshot. It keeps what it has, but
        // must not call it fresh: a withdrawal may lie in the hole.
        it("keeps what it has, unconfirmed, when a gap has no snapshot", async () => {
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

    describe("offer", () => {
        it("takes over a newer state while the log is away, and goes on from it afterwards", async () => {
            const log = new MemoryLog();
            fillLog(log, 3, 4);
            const { reader, priorities } = createReader(log);
            expect(reader.importState(createState(log, 2), 2)).toEqual(true);
            reader.start();
            await waitFor(() => reader.getOffset() === 3, "the tail");
            await reader.stop();
            expect(priorities).toEqual([3, 4]);
        });

        // A peer that was restarted or that mislabels its state offers an older one. A withdrawn version would answer again.
        it("refuses a state that is not newer, whatever it is said to cover", async () => {
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

        it("fills a hole that the log has no snapshot for", async () => {
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

        // The log was replaced by an empty one, or the URL is wrong. Reading it to its end confirms nothing.
        it("does not count a log that ends before the offered state as a confirmation", async () => {
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
        it("never makes the configuration look older", () => {
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
        it("writes when the interval or the records are up, and a fresh reader starts from it", async () => {
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
