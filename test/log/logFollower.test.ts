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

// A follower that a failed test left running would keep the test process from ending.
afterEach(async () => {
    for (const follower of started.splice(0)) {
        await follower.stop();
    }
});

function createFollower(log: MemoryLog, from: number, send: LogTransport = log.send, clock: Clock = systemClock) {
    const caughtUp: { readonly askedAt: number; readonly contactAge: number; }[] = [];
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
        onCaughtUp: askedAt => caughtUp.push({ askedAt, contactAge: follower.getContactAge() }),
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

        // The log is away and comes back. A reader that gave up would keep an old configuration without a sign.
        it("goes on after an outage, and says that it was lost and regained", async () => {
            const log = new MemoryLog();
            log.setDown(true);
            const { follower, offsets, names } = createFollower(log, 0);
            follower.start();
            await waitFor(() => names.includes("log-lost"), "the outage to be noticed");
            appendMany(log, 2);
            log.setDown(false);
            await waitFor(() => offsets.length === 2, "the entries after the outage");
            await follower.stop();
            expect(names).toEqual(["log-lost", "log-regained"]);
        });

        // Records expired while this reader was away. Going on without a word would leave a hole in the fold.
        it("reports a gap before it goes on from the earliest entry", async () => {
            const log = new MemoryLog();
            appendMany(log, 10);
            log.expireBefore(6);
            const { follower, offsets, gaps } = createFollower(log, 2);
            follower.start();
            await waitFor(() => offsets.length === 4, "the entries that are left");
            await follower.stop();
            expect(gaps).toEqual([6]);
            expect(offsets).toEqual([6, 7, 8, 9]);
        });
    });

    describe("start", () => {
        // A log that drops expired records answers with later ones and no word about it. The hole must not go unnoticed.
        it("reports a gap that the log itself does not mention", async () => {
            const log = new MemoryLog();
            appendMany(log, 4);
            const skipFirst: LogTransport = async request => {
                const response = await log.send(request);
                const page = JSON.parse(response.body);
                const entries = page.entries.filter((entry: { offset: number; }) => entry.offset >= 2);
                return { ...response, body: JSON.stringify({ ...page, entries }) };
            };
            const { follower, offsets, gaps } = createFollower(log, 0, skipFirst);
            follower.start();
            await waitFor(() => offsets.length === 2, "the entries that are left");
            await follower.stop();
            expect([gaps, offsets]).toEqual([[2], [2, 3]]);
        });
    });

    describe("getContactAge", () => {
        // The process is paused for a minute while an answer lies in its socket. Counted from its arrival the minute-old
        // answer would pass for news, and a withdrawal of that minute would be missed by a node that calls itself fresh.
        it("counts from when the answered read was sent", async () => {
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
            expect(caughtUp[0]).toEqual({ askedAt: 0, contactAge: 60_000 });
        });
    });

    describe("stop", () => {
        it("calls nothing afterwards", async () => {
            const log = new MemoryLog();
            const { follower, offsets } = createFollower(log, 0);
            follower.start();
            await follower.stop();
            appendMany(log, 3);
            expect(offsets).toEqual([]);
        });
    });
});
