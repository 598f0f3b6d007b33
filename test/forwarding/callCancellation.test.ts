import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate, setTimeout } from "node:timers/promises";
import { MessageChannel } from "node:worker_threads";
import { CallCancellation } from "../../src/forwarding/callCancellation.js";
import { blockProcess } from "../fixtures/pauses.js";

const headTimeoutMilliseconds = 5;

function createCancellation(reserveNext = () => Promise.resolve(true)): CallCancellation {
    return new CallCancellation({
        ended: new AbortController().signal,
        headTimeoutMilliseconds,
        reserveNext,
    });
}

describe("CallCancellation", () => {
    it("cancels a call whose answer does not start in time", async () => {
        const cancellation = createCancellation();
        while (!cancellation.signal.aborted) {
            await setTimeout(1);
        }
        expect(cancellation.isHeadTimedOut).toEqual(true);
    });

    // Guards against a request that fails since its call is given up before another one is certain.
    it("goes on with a call until another one takes its place", async () => {
        const replies = [false, false, true];
        const aborted: boolean[] = [];
        const cancellation: CallCancellation = createCancellation(() => {
            aborted.push(cancellation.signal.aborted);
            return Promise.resolve(replies.shift()!);
        });
        while (!cancellation.signal.aborted) {
            await setTimeout(1);
        }
        expect([aborted, cancellation.isHeadTimedOut]).toEqual([[false, false, false], true]);
    });

    // Guards against a call that is given up, although its answer may start first, for one that has not started either.
    it("keeps a call beside its replacement if that is waited for, until it is given up", async () => {
        const cancellation = createCancellation();
        await cancellation.waitForReplacement();
        expect([cancellation.isReplaced, cancellation.signal.aborted]).toEqual([true, false]);
        cancellation.giveUp();
        expect([cancellation.isHeadTimedOut, cancellation.signal.aborted]).toEqual([true, true]);
    });

    it("asks at once for a further replacement when the first one has failed", async () => {
        let count = 0;
        const cancellation = createCancellation(() => Promise.resolve((count += 1) !== 2));
        await cancellation.waitForReplacement();
        const replaced = cancellation.waitForReplacement();
        expect([count, cancellation.isReplaced]).toEqual([2, false]);
        await replaced;
        expect([count, cancellation.isReplaced, cancellation.signal.aborted]).toEqual([3, true, false]);
    });

    it("gives up no call whose answer has started, or that was cancelled", async () => {
        const started = createCancellation();
        await started.waitForReplacement();
        started.stopHeadTimeout();
        started.giveUp();
        expect([started.isHeadTimedOut, started.signal.aborted]).toEqual([false, false]);
        const cancelled = createCancellation();
        await cancelled.waitForReplacement();
        cancelled.cancel();
        cancelled.giveUp();
        expect(cancelled.isHeadTimedOut).toEqual(false);
    });

    // Guards against an answer that is thrown away although it starts while another upstream is chosen.
    it("keeps a call whose answer starts while another one is prepared", async () => {
        let reserve: ((isReserved: boolean) => void) | undefined;
        const cancellation = createCancellation(() => new Promise(resolve => reserve = resolve));
        while (reserve === undefined) {
            await setTimeout(1);
        }
        cancellation.stopHeadTimeout();
        reserve(true);
        await setTimeout(1);
        expect([cancellation.isHeadTimedOut, cancellation.signal.aborted]).toEqual([false, false]);
    });

    // Guards against answers that are thrown away, and connections that are renewed, because this process itself paused.
    it("does not cancel a call whose answer arrived while this process paused", async () => {
        const { port1, port2 } = new MessageChannel();
        // From here, timers fire before what has arrived is read.
        await setImmediate();
        const cancellation = createCancellation();
        port2.on("message", () => cancellation.stopHeadTimeout());
        port1.postMessage("head");
        blockProcess(2 * headTimeoutMilliseconds);
        await setTimeout(2 * headTimeoutMilliseconds);
        port1.close();
        expect([cancellation.isHeadTimedOut, cancellation.signal.aborted]).toEqual([false, false]);
    });
});
