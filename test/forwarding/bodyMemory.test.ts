import { expect } from "earl";
import { describe, it } from "node:test";
import { BodyMemory, type BodyWait } from "../../src/forwarding/index.js";

const large = 1_000_000;
const longWait: BodyWait = { maxMilliseconds: 10_000, disconnected: new AbortController().signal };

/** Returns whether a promise is settled by now. */
async function isSettled(promise: Promise<unknown>): Promise<boolean> {
    const pending = Symbol("pending");
    await new Promise(resolve => setImmediate(resolve));
    return await Promise.race([promise, Promise.resolve(pending)]) !== pending;
}

describe("BodyMemory", () => {
    it("admits waiting bodies in their order as memory is given back", async () => {
        const memory = new BodyMemory({ getMaxBytes: () => 2 * large });
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
        second.shrink(500_000);
        expect([await behind, memory.getReservedBytes()]).toEqual([true, 1_600_000]);
    });

    // Most requests are small. A few large ones must not delay them.
    it("lets small bodies wait for nobody", async () => {
        const memory = new BodyMemory({ getMaxBytes: () => large });
        await memory.add().reserve(large, longWait);
        void memory.add().reserve(large, longWait);
        expect(await memory.add().reserve(64 * 1024, longWait)).toEqual(true);
    });

    it("ends a wait in time and when the caller disconnects, and goes on with those behind it", async () => {
        const memory = new BodyMemory({ getMaxBytes: () => large });
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
        const memory = new BodyMemory({ getMaxBytes: () => 100_000 });
        const first = memory.add();
        expect(await first.reserve(large, longWait)).toEqual(true);
        const second = memory.add().reserve(large, longWait);
        expect(await isSettled(second)).toEqual(false);
        first.release();
        expect(await second).toEqual(true);
    });
});
