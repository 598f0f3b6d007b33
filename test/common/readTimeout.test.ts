import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate, setTimeout } from "node:timers/promises";
import { MessageChannel } from "node:worker_threads";
import { ReadTimeout } from "../../src/common/index.js";
import { blockProcess } from "../fixtures/pauses.js";

const milliseconds = 20;

describe("ReadTimeout", () => {
    it("expires once its time is over", async () => {
        let count = 0;
        const timeout = new ReadTimeout(milliseconds, () => count += 1);
        await setTimeout(milliseconds / 2);
        timeout.refresh();
        await setTimeout(milliseconds / 2);
        expect(count).toEqual(0);
        await setTimeout(3 * milliseconds);
        expect(count).toEqual(1);
    });

    // Guards against peers that are given up although they answered, since this process itself was paused.
    it("does not expire when what it waits for arrived while the process was paused", async () => {
        const { port1, port2 } = new MessageChannel();
        let hasExpired = false;
        // From here, timers run before what has arrived is read.
        await setImmediate();
        const timeout = new ReadTimeout(milliseconds, () => hasExpired = true);
        port2.on("message", () => timeout.clear());
        port1.postMessage("answer");
        blockProcess(2 * milliseconds);
        await setTimeout(2 * milliseconds);
        port1.close();
        expect(hasExpired).toEqual(false);
    });
});
