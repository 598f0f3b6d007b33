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

        it("distinguishes a rejected append from a lost acknowledgement", async () => {
            await checkKind("overloaded", "overloaded", 0);
            await checkKind("down", "unavailable", 0);
            await checkKind("lost-acknowledgement", "unavailable", 1);
        });

        it("refuses a record that exceeds the log's limit", async () => {
            const log = new MemoryLog();
            const record = { ...createRecord("a"), body: "x".repeat(300_000) };
            const result = await createClient(log).client.append("config", record);
            expect(result._unsafeUnwrapErr().kind).toEqual("invalid-input");
        });
    });

    describe("read", () => {
        it("returns the earliest offset when the requested one has expired", async () => {
            const log = new MemoryLog();
            log.append(createRecord("a"));
            log.append(createRecord("b"));
            log.expireBefore(1);
            const failure = (await createClient(log).client.read("config", 0))._unsafeUnwrapErr();
            expect(failure instanceof RetentionFailure && failure.earliest).toEqual(1);
        });
    });

    describe("appendAndConfirm", () => {
        // Guards against wrong reports of a publication: the log appends a record, and the connection drops before the
        // response. An operator who sees a failure would publish again; one who receives the offset of the repeat would
        // wait for the wrong record.
        it("finds the record whose acknowledgement was lost", async () => {
            const log = new MemoryLog();
            log.append(createRecord("other"));
            log.failAppends("lost-acknowledgement");
            const result = await createClient(log).client.appendAndConfirm("config", createRecord("a"), 1);
            expect(result._unsafeUnwrap()).toEqual(1);
            expect(log.getEntries().length).toEqual(2);
        });

        // Guards against a wrong fencing token: the first attempt is still in flight when the stream is read, so the
        // record is appended again, and both arrive. Folds use the first one, so its offset must be returned, which a
        // lease uses as its fencing token.
        it("returns the offset of the first record when a slow attempt arrives after its repeat", async () => {
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

        it("waits for the time that an overloaded log requests", async () => {
            const log = new MemoryLog();
            log.failAppends("overloaded");
            const { client, pauses } = createClient(log);
            expect((await client.appendAndConfirm("config", createRecord("a"), 0))._unsafeUnwrap()).toEqual(0);
            expect(pauses).toEqual([2_000]);
        });

        // Guards against a call that never ends while the log is unavailable: the caller must see that it is unknown
        // whether the record was appended.
        it("reports an unknown outcome at the deadline", async () => {
            const log = new MemoryLog();
            log.setDown(true);
            const failure = (await createClient(log).client.appendAndConfirm("config", createRecord("a"), 0, 1_000))
                ._unsafeUnwrapErr();
            expect(failure.kind).toEqual("unavailable");
            expect(failure.message.startsWith("It is unknown")).toEqual(true);
        });
    });
});
