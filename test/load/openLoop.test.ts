import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { type Arrival, createSchedule, LoadClient, runOpenLoop, type SiteTransport } from "../../src/load/index.js";
import { type ChatRecord, waitUntil } from "../../src/testbench/index.js";
import { createProfile } from "../fixtures/loadProfiles.js";
import { createAnswer, createTransport } from "../fixtures/loadTransports.js";

const { works } = createProfile("[work.tag]\nkind = chat\nworkspace = commissary\n");
const schedule = createSchedule({ works, ratePerSecond: 20, seconds: 2, seed: 4 });
const tolerance = 1e-6;

function createRun(clock: ManualClock, transport: Partial<SiteTransport>) {
    const client = new LoadClient({
        transport: createTransport(transport),
        clock,
        settings: { boundMilliseconds: 1000, tries: 1 },
        runId: "run",
    });
    // Lets pending requests reach the transport before the clock advances.
    const sleep = async (milliseconds: number): Promise<void> => {
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(milliseconds);
    };
    return { client, sleep };
}

describe("runOpenLoop", () => {
    // The site stops answering while requests keep arriving. A generator that waited for each answer before sending the next
    // request would show the operator one slow request and hide all others (coordinated omission).
    it("sends each request at its scheduled time although no earlier one was answered", async () => {
        const clock = new ManualClock(500);
        const sentAt: number[] = [];
        const answerCallbacks: (() => void)[] = [];
        const { client, sleep } = createRun(clock, {
            chat: () => {
                sentAt.push(clock.monotonic());
                return new Promise<ChatRecord>(resolve => answerCallbacks.push(() => resolve(createAnswer())));
            },
        });
        const latencies: number[] = [];
        const send = async (arrival: Arrival, intendedAt: number): Promise<void> => {
            latencies.push((await client.send(arrival, intendedAt)).milliseconds);
        };
        let isFinished = false;
        const running = runOpenLoop({ schedule, clock, send, sleep }).then(() => isFinished = true);
        await waitUntil(() => sentAt.length >= schedule.length, { description: "all requests to be sent" });
        expect(schedule.length > 20).toEqual(true);
        expect(sentAt.length).toEqual(schedule.length);
        for (const [index, { at }] of schedule.entries()) {
            expect(Math.abs(sentAt[index] - 500 - at) < tolerance).toEqual(true);
        }
        expect(isFinished).toEqual(false);
        clock.advance(3000);
        const end = clock.monotonic();
        for (const resolveAnswer of answerCallbacks) {
            resolveAnswer();
        }
        await running;
        for (const [index, { at }] of schedule.entries()) {
            expect(Math.abs(latencies[index] - (end - 500 - at)) < tolerance).toEqual(true);
        }
    });

    // The load generator is blocked for a second, so requests are sent late. A real caller would have waited for that second
    // too; if latency counted from the time of sending, the wait would be missing from the percentiles.
    it("counts from the intended arrival when a request is sent late", async () => {
        const clock = new ManualClock();
        const { client, sleep } = createRun(clock, {
            chat: async request => {
                request.onProgress?.(1);
                return createAnswer();
            },
        });
        let count = 0;
        const records: { late: number; firstToken: number | undefined; }[] = [];
        const send = async (arrival: Arrival, intendedAt: number): Promise<void> => {
            count += 1;
            if (count === 5) {
                clock.advance(1000);
            }
            const record = await client.send(arrival, intendedAt);
            records.push({ late: record.lateMilliseconds, firstToken: record.firstTokenMilliseconds });
        };
        await runOpenLoop({ schedule, clock, send, sleep });
        const delayedUntil = schedule[4].at + 1000;
        for (const [index, { at }] of schedule.entries()) {
            const expected = index < 4 ? 0 : Math.max(0, delayedUntil - at);
            expect(Math.abs(records[index].late - expected) < tolerance).toEqual(true);
            expect((records[index].firstToken ?? -1) >= records[index].late).toEqual(true);
        }
    });
});
