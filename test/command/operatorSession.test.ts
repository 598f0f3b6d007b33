import { expect } from "earl";
import { describe, it } from "node:test";
import { OperatorSession } from "../../src/command/operatorSession.js";
import { systemClock } from "../../src/common/index.js";
import type { LogTransport } from "../../src/log/index.js";
import { createPublication, smallTree } from "../configuration/records.js";
import { MemoryLog } from "../log/memoryLog.js";

async function withSession(
    log: MemoryLog,
    work: (session: OperatorSession) => Promise<void>,
    send: LogTransport = log.send,
): Promise<void> {
    const session = new OperatorSession({
        logUrl: "http://127.20.11.1:1",
        clock: systemClock,
        timeoutMilliseconds: 2_000,
        author: "anna",
        send,
    });
    try {
        (await session.open())._unsafeUnwrap();
        await work(session);
    }
    finally {
        await session.close();
    }
}

const change = { section: "workspace.bench", key: "priority", value: "1" };

describe("OperatorSession", () => {
    describe("publish", () => {
        // Another operator's change of the same key arrives after this change was made and before it is appended. The result
        // must name the superseding change, even if the session has already read it. Otherwise, the other operator's change
        // would be reverted unnoticed.
        it("is superseded by a change that was appended after the changes were made", async () => {
            const log = new MemoryLog();
            log.append(createPublication(smallTree));
            await withSession(log, async session => {
                const basedOn = session.reader.getOffset();
                log.append(createPublication([{ ...change, value: "7" }], { basedOn, author: "bruno" }));
                while (session.reader.getOffset() === basedOn) {
                    await new Promise(resolve => setTimeout(resolve, 1));
                }
                const result = (await session.publish([change], basedOn, ""))._unsafeUnwrap();
                expect([result.outcome, result.beatenBy?.author]).toEqual(["rejected", "bruno"]);
            });
        });

        // The append is repeated after a lost acknowledgement, so that the log contains the record twice and acknowledges only
        // the repeat. The operator must get the result of the first record, not "repeated".
        it("reports the first record when the append was repeated", async () => {
            const log = new MemoryLog();
            log.append(createPublication(smallTree));
            const appendTwice: LogTransport = async request => {
                const first = await log.send(request);
                return request.method === "POST" ? log.send(request) : first;
            };
            await withSession(log, async session => {
                const publishing = session.publish([change], session.reader.getOffset(), "");
                const result = (await publishing)._unsafeUnwrap();
                expect(log.getEntries().length).toEqual(3);
                expect([result.outcome, result.offset]).toEqual(["accepted", 1]);
            }, appendTwice);
        });
    });

    describe("open", () => {
        // Records have expired and no snapshot was written. Changes that are computed against an incomplete tree would revert
        // the missing part.
        it("fails on a configuration with a gap", async () => {
            const log = new MemoryLog();
            log.append(createPublication(smallTree));
            log.append(createPublication([change], { basedOn: 1 }));
            log.expireBefore(1);
            const session = new OperatorSession({
                logUrl: "http://127.20.11.1:1",
                clock: systemClock,
                timeoutMilliseconds: 200,
                author: "anna",
                send: log.send,
            });
            const opened = await session.open();
            await session.close();
            expect(opened._unsafeUnwrapErr().kind).toEqual("gone");
        });
    });
});
