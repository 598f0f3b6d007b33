import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { BodyMemory, type BodyMemoryOptions, type BodyWait } from "../../src/connections/index.js";

const large = 1_000_000;
const longWait: BodyWait = { maxMilliseconds: 10_000, disconnected: new AbortController().signal };

function createMemory(options: Partial<BodyMemoryOptions>): BodyMemory {
    return new BodyMemory({
        clock: new ManualClock(),
        getMaxBytes: () => large,
        getMaxSmallBytes: () => large,
        ...options,
    });
}

/** Returns whether a promise is settled by now. */
async function isSettled(promise: Promise<unknown>): Promise<boolean> {
    const pending = Symbol("pending");
    await new Promise(resolve => setImmediate(resolve));
    return await Promise.race([promise, Promise.resolve(pending)]) !== pending;
}

describe("BodyMemory", () => {
    it("admits waiting bodies in their order as memory is given back", async () => {
        const memory = createMemory({ getMaxBytes: () => 2 * large });
        const [first, second, third, fourth] = [memory.add(), memory.add(), memory.add(), memory.add()];
        expect(await Promise.all([first.reserve(large, longWait), second.reserve(large, longWait)])).toEqual([
            true,
            true,
        ]);
        const waiting = third.reserve(large, longWait);
        const behind = fourth.reserve(100_000, longWait);
        expect([await isSettled(waiting), memory.countWaiting()]).toEqual([false, 2]);
        first.release();
        first.release();
        expect([await waiting, await isSettled(behind)]).toEqual([true, false]);
        second.complete(500_000);
        expect([await behind, memory.getReservedBytes()]).toEqual([true, 1_600_000]);
    });

    // Most requests are small. A few large ones must not delay them.
    it("lets small bodies wait for nobody", async () => {
        const memory = createMemory({ getMaxBytes: () => large });
        await memory.add().reserve(large, longWait);
        void memory.add().reserve(large, longWait);
        expect(await memory.add().reserve(64 * 1024, longWait)).toEqual(true);
    });

    it("ends a wait in time and when the caller disconnects, and goes on with those behind it", async () => {
        const memory = createMemory({ getMaxBytes: () => large });
        const caller = new AbortController();
        await memory.add().reserve(400_000, longWait);
        const short = memory.add().reserve(large, { ...longWait, maxMilliseconds: 20 });
        const leaving = memory.add().reserve(large, { ...longWait, disconnected: caller.signal });
        const behind = memory.add().reserve(400_000, longWait);
        expect(await short).toEqual(false);
        expect(await isSettled(behind)).toEqual(false);
        caller.abort();
        expect([await leaving, await behind, memory.countWaiting()]).toEqual([false, true, 0]);
    });

    it("reads a body that is larger than all memory for bodies when there is no other one", async () => {
        const memory = createMemory({ getMaxBytes: () => 100_000 });
        const first = memory.add();
        expect(await first.reserve(large, longWait)).toEqual(true);
        const second = memory.add().reserve(large, longWait);
        expect(await isSettled(second)).toEqual(false);
        first.release();
        expect(await second).toEqual(true);
    });

    // Guards against many small bodies that stop short of their end and hold the memory of all others.
    it("gives up small bodies that have not arrived for some time, the longest waiting first, when there is no memory", async () => {
        const clock = new ManualClock();
        const memory = createMemory({ clock, getMaxSmallBytes: () => 200_000 });
        const givenUp: number[] = [];
        const bodies = [0, 1, 2].map(index => memory.add(() => givenUp.push(index)));
        for (const body of bodies) {
            expect(await body.reserve(50_000, longWait)).toEqual(true);
        }
        const early = memory.add();
        expect(await early.reserve(50_000, longWait)).toEqual(false);
        early.release();
        clock.advance(2_001);
        bodies[0].addProgress(10);
        bodies[1].complete(50_000);
        expect(await memory.add().reserve(50_000, longWait)).toEqual(true);
        expect(givenUp).toEqual([2]);
    });

    // Guards against callers that send a part of a large body and keep those behind them from being read until their deadlines.
    it("gives up a large body that has not arrived for some time when another one waits", async () => {
        const clock = new ManualClock();
        const memory = createMemory({ clock });
        let hasGivenUp = false;
        const stalled = memory.add(() => hasGivenUp = true);
        await stalled.reserve(large, longWait);
        clock.advance(2_001);
        expect(await memory.add().reserve(large, longWait)).toEqual(true);
        expect([hasGivenUp, stalled.addProgress(1_000)]).toEqual([true, false]);
    });

    it("counts requests without bodies", async () => {
        const memory = createMemory({ getMaxSmallBytes: () => 20_000 });
        const requests = [memory.add(), memory.add(), memory.add()];
        const answers = await Promise.all(requests.map(request => request.reserve(0, longWait)));
        expect(answers).toEqual([false, false, false]);
        requests[2].release();
        expect(await requests[0].reserve(0, longWait)).toEqual(true);
    });
});
