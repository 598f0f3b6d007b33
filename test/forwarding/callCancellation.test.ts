import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate, setTimeout } from "node:timers/promises";
import { MessageChannel } from "node:worker_threads";
import { CallCancellation } from "../../src/forwarding/callCancellation.js";
import { blockProcess } from "../fixtures/pauses.js";

const headTimeoutMilliseconds = 5;

function createCancellation(): CallCancellation {
    return new CallCancellation({ ended: new AbortController().signal, headTimeoutMilliseconds });
}

describe("CallCancellation", () => {
    it("cancels a call whose answer does not start in time", async () => {
        const cancellation = createCancellation();
        while (!cancellation.signal.aborted) {
            await setTimeout(1);
        }
        expect(cancellation.isHeadTimedOut).toEqual(true);
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
