import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type Clock, ManualClock, RandomSource, systemClock } from "../../src/common/index.js";
import { Journal } from "../../src/events/index.js";
import { LogClient, LogFollower, type LogTransport } from "../../src/log/index.js";
import { MemoryLog, waitFor } from "./memoryLog.js";

function appendMany(log: MemoryLog, count: number): void {
    for (let index = 0; index < count; index += 1) {
        log.append({ id: `r${index}`, kind: "publish", format: 1, writer: "test", body: {} });
    }
}

const started: LogFollower[] = [];

// A follower that a failed test left running would prevent the test process from exiting.
afterEach(async () => {
    for (const follower of started.splice(0)) {
        await follower.stop();
    }
});

function createFollower(log: MemoryLog, from: number, send: LogTransport = log.send, clock: Clock = systemClock) {
    const caughtUp: { readonly requestedAt: number; readonly contactAge: number; }[] = [];
    const offsets: number[] = [];
    const gaps: number[] = [];
    const names: string[] = [];
    const journal = new Journal({ process: "test", clock: systemClock, write: line => names.push(line.name) });
    const follower: LogFollower = new LogFollower({
        client: new LogClient({ url: "http://127.20.1.1:1", clock, send }),
        stream: "config",
        from,
        clock,
        random: new RandomSource(1),
        journal,
        onEntry: entry => offsets.push(entry.offset),
        onGap: earliest => gaps.push(earliest),
        onCaughtUp: requestedAt => caughtUp.push({ requestedAt, contactAge: follower.getContactAge() }),
    });
    started.push(follower);
    return { follower, offsets, gaps, names, caughtUp };
}

describe("LogFollower", () => {
    describe("start", () => {
        it("delivers every entry once and in order", async () => {
            const log = new MemoryLog();
            appendMany(log, 1_200);
            const { follower, offsets } = createFollower(log, 3);
            follower.start();
            await waitFor(() => offsets.length === 1_197, "the entries so far");
            appendMany(log, 1);
            await waitFor(() => offsets.length === 1_198, "a new entry");
            await follower.stop();
            expect(offsets).toEqual(Array.from({ length: 1_198 }, (...[, index]) => index + 3));
        });

        // Guards against an old configuration that stays in use without notice: a reader that stops after an outage of
        // the log would miss all later records.
        it("continues after an outage, and logs its start and end", async () => {
            const log = new MemoryLog();
            log.setDown(true);
            const { follower, offsets, names } = createFollower(log, 0);
            follower.start();
            await waitFor(() => names.includes("log-lost"), "the start of the outage in the journal");
            appendMany(log, 2);
            log.setDown(false);
            await waitFor(() => offsets.length === 2, "the entries after the outage");
            await follower.stop();
            expect(names).toEqual(["log-lost", "log-regained"]);
        });

        // Guards against a gap in the fold: records expired while this reader was cut off, and reading on without a
        // report would hide that.
        it("reports a gap before it continues at the earliest entry", async () => {
            const log = new MemoryLog();
            appendMany(log, 10);
            log.expireBefore(6);
            const { follower, offsets, gaps } = createFollower(log, 2);
            follower.start();
            await waitFor(() => offsets.length === 4, "the remaining entries");
            await follower.stop();
            expect(gaps).toEqual([6]);
            expect(offsets).toEqual([6, 7, 8, 9]);
        });
    });

    describe("start", () => {
        // Guards against a gap that no one notices: a log that drops expired records may return later ones without
        // reporting that.
        it("reports a gap that the log does not report", async () => {
            const log = new MemoryLog();
            appendMany(log, 4);
            const skipFirstEntries: LogTransport = async request => {
                const response = await log.send(request);
                const page = JSON.parse(response.body);
                const entries = page.entries.filter((entry: { offset: number; }) => entry.offset >= 2);
                return { ...response, body: JSON.stringify({ ...page, entries }) };
            };
            const { follower, offsets, gaps } = createFollower(log, 0, skipFirstEntries);
            follower.start();
            await waitFor(() => offsets.length === 2, "the remaining entries");
            await follower.stop();
            expect([gaps, offsets]).toEqual([[2], [2, 3]]);
        });
    });

    describe("getContactAge", () => {
        // Guards against missed withdrawals: the process is paused for a minute while an answer waits in its socket.
        // Measured from its arrival, the answer would appear fresh, and the node would miss the withdrawals of that
        // minute.
        it("measures from the time at which the answered read was sent", async () => {
            const log = new MemoryLog();
            const clock = new ManualClock();
            const pause: LogTransport = async request => {
                const response = await log.send(request);
                clock.advance(60_000);
                return response;
            };
            const { follower, caughtUp } = createFollower(log, 0, pause, clock);
            follower.start();
            await waitFor(() => caughtUp.length > 0, "the first answer");
            await follower.stop();
            expect(caughtUp[0]).toEqual({ requestedAt: 0, contactAge: 60_000 });
        });
    });

    describe("stop", () => {
        it("calls no callback afterwards", async () => {
            const log = new MemoryLog();
            const { follower, offsets } = createFollower(log, 0);
            follower.start();
            await follower.stop();
            appendMany(log, 3);
            expect(offsets).toEqual([]);
        });
    });
});
