import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, StallWatch, systemClock } from "../../src/common/index.js";

/** Longer than a busy machine keeps a process waiting. */
const idleMilliseconds = 3_000;

function createWatch() {
    const clock = new ManualClock(1_000);
    const finishReads: (() => void)[] = [];
    const stalls: number[] = [];
    const watch = new StallWatch({
        clock,
        readProgress: { readArrived: () => new Promise(resolve => finishReads.push(resolve)) },
        onStall: milliseconds => stalls.push(milliseconds),
    });
    const finishRead = async (): Promise<void> => {
        finishReads.shift()!();
        await new Promise(resolve => setImmediate(resolve));
    };
    return { clock, watch, stalls, finishRead };
}

describe("StallWatch", () => {
    it("takes what is read for what arrives now while the event loop turns", () => {
        const { clock, watch, stalls } = createWatch();
        for (let count = 0; count < 10; count += 1) {
            clock.advance(200);
            expect(watch.getEarliestArrival()).toEqual(clock.monotonic());
        }
        expect(stalls).toEqual([]);
    });

    // A process that was paused reads the requests of seconds in one turn.
    it("takes the start of a pause for the arrival until everything is read that had arrived", async () => {
        const { clock, watch, stalls, finishRead } = createWatch();
        clock.advance(4_000);
        expect([watch.getEarliestArrival(), watch.getEarliestArrival()]).toEqual([1_000, 1_000]);
        clock.advance(100);
        expect(watch.getEarliestArrival()).toEqual(1_000);
        await finishRead();
        expect([watch.getEarliestArrival(), stalls]).toEqual([5_100, [4_000]]);
    });

    // An overloaded process is in one stall after the other. Its requests must not seem to be from the first one for ever.
    it("forgets each stall when what had arrived by its end is read", async () => {
        const { clock, watch, finishRead } = createWatch();
        clock.advance(500);
        watch.getEarliestArrival();
        clock.advance(500);
        expect(watch.getEarliestArrival()).toEqual(1_000);
        await finishRead();
        expect(watch.getEarliestArrival()).toEqual(1_500);
        await finishRead();
        expect(watch.getEarliestArrival()).toEqual(2_000);
    });

    // An idle process reads nothing because nothing arrives; the first request after that has not waited.
    it("takes an idle process for no stall", async () => {
        const stalls: number[] = [];
        const watch = new StallWatch({
            clock: systemClock,
            readProgress: { readArrived: async () => {} },
            onStall: milliseconds => stalls.push(milliseconds),
        });
        watch.start();
        await new Promise(resolve => setTimeout(resolve, idleMilliseconds));
        watch.getEarliestArrival();
        watch.stop();
        expect(stalls.every(milliseconds => milliseconds < idleMilliseconds / 2)).toEqual(true);
    });
});
