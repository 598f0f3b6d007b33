import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { LogClient, type LogRecord, RetentionFailure } from "../../src/log/index.js";
import { type AppendFault, MemoryLog } from "./memoryLog.js";

function createRecord(id: string): LogRecord {
    return { id, kind: "publish", format: 1, writer: "test", body: {} };
}

function createClient(log: MemoryLog): { readonly client: LogClient; readonly pauses: number[]; } {
    const clock = new ManualClock();
    const pauses: number[] = [];
    const sleep = async (milliseconds: number) => {
        pauses.push(milliseconds);
        clock.advance(milliseconds);
    };
    return { client: new LogClient({ url: "http://127.20.1.1:1", clock, send: log.send, sleep }), pauses };
}

describe("LogClient", () => {
    describe("append", () => {
        async function checkKind(fault: AppendFault, kind: string, appended: number) {
            const log = new MemoryLog();
            log.failAppends(fault);
            const result = await createClient(log).client.append("config", createRecord("a"));
            expect(result._unsafeUnwrapErr().kind as string).toEqual(kind);
            expect(log.getEntries().length).toEqual(appended);
        }

        it("tells a refusal from a lost acknowledgement", async () => {
            await checkKind("overloaded", "overloaded", 0);
            await checkKind("down", "unavailable", 0);
            await checkKind("lost-acknowledgement", "unavailable", 1);
        });

        it("refuses a record that the log would not take", async () => {
            const log = new MemoryLog();
            const record = { ...createRecord("a"), body: "x".repeat(300_000) };
            const result = await createClient(log).client.append("config", record);
            expect(result._unsafeUnwrapErr().kind).toEqual("invalid-input");
        });
    });

    describe("read", () => {
        it("names the earliest offset when the wanted one has expired", async () => {
            const log = new MemoryLog();
            log.append(createRecord("a"));
            log.append(createRecord("b"));
            log.expireBefore(1);
            const failure = (await createClient(log).client.read("config", 0))._unsafeUnwrapErr();
            expect(failure instanceof RetentionFailure && failure.earliest).toEqual(1);
        });
    });

    describe("appendSettled", () => {
        // The log takes a record and the connection drops before the answer. An operator who is told "failed" would
        // publish again; one who is told the repeat's offset would wait for the wrong record.
        it("finds the record whose acknowledgement was lost", async () => {
            const log = new MemoryLog();
            log.append(createRecord("other"));
            log.failAppends("lost-acknowledgement");
            const result = await createClient(log).client.appendAndConfirm("config", createRecord("a"), 1);
            expect(result._unsafeUnwrap()).toEqual(1);
            expect(log.getEntries().length).toEqual(2);
        });

        // The first attempt is still on its way when the stream is read, so that it is appended again; then both are
        // there. Folds count the first, and so must the offset that a lease uses as its fencing number.
        it("returns the first record's offset when a slow attempt arrives after all", async () => {
            const log = new MemoryLog();
            const client = new LogClient({
                url: "http://127.20.1.1:1",
                clock: new ManualClock(),
                send: log.send,
                sleep: async () => {
                    log.append(createRecord("a"));
                },
            });
            log.failAppends("lost-record");
            const result = await client.appendAndConfirm("config", createRecord("a"), 0);
            expect(log.getEntries().length).toEqual(2);
            expect(result._unsafeUnwrap()).toEqual(0);
        });

        it("waits as long as an overloaded log asks for", async () => {
            const log = new MemoryLog();
            log.failAppends("overloaded");
            const { client, pauses } = createClient(log);
            expect((await client.appendAndConfirm("config", createRecord("a"), 0))._unsafeUnwrap()).toEqual(0);
            expect(pauses).toEqual([2_000]);
        });

        // The log stays away. The caller must learn that it is unknown whether the record arrived, and not wait for ever.
        it("says that the outcome is unknown at the deadline", async () => {
            const log = new MemoryLog();
            log.setDown(true);
            const failure = (await createClient(log).client.appendAndConfirm("config", createRecord("a"), 0, 1_000))
                ._unsafeUnwrapErr();
            expect(failure.kind).toEqual("unavailable");
            expect(failure.message.startsWith("It is unknown")).toEqual(true);
        });
    });
});
