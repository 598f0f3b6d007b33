import { expect } from "earl";
import { err, ok } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, ManualClock } from "../../src/common/index.js";
import { type KeyedTopicReader, StoreBackoff } from "../../src/topics/index.js";

const topicCount = 3;
const stepMilliseconds = 100;

function createStore() {
    const state = { isDown: false, calls: 0 };
    const read: KeyedTopicReader["readAll"] = () => {
        state.calls += 1;
        const failure = new Failure({ kind: "unavailable", message: "The store is down.", remedy: "Wait." });
        const page = { records: [], isComplete: true, endPosition: 0, confirmedAt: 0 };
        return Promise.resolve(state.isDown ? err(failure) : ok(page));
    };
    return { state, reader: { source: "store", readAll: read, readSince: read } satisfies KeyedTopicReader };
}

function createBackoff(isUsualReader = false) {
    const clock = new ManualClock(0);
    const { state, reader } = createStore();
    const backoff = new StoreBackoff({ clock, isUsualReader: () => isUsualReader });
    const observed = backoff.observe(reader);
    /** Reads all topics whenever the store may be called. */
    const run = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
            for (let topic = 0; topic < topicCount; topic += 1) {
                if (!backoff.isWaiting()) {
                    await observed.readSince(0, 0);
                }
            }
            clock.advance(stepMilliseconds);
        }
    };
    return { state, run, backoff };
}

describe("StoreBackoff", () => {
    // Guards against a site that calls a store which is down hundreds of times a second.
    it("makes few calls during an outage, for all topics together", async () => {
        const { state, run } = createBackoff();
        state.isDown = true;
        await run(8_000);
        expect(state.calls <= 6).toEqual(true);
    });

    it("lets the node that usually reads the store notice its return soon", async () => {
        const { state, run, backoff } = createBackoff(true);
        state.isDown = true;
        await run(8_000);
        state.isDown = false;
        const before = state.calls;
        await run(500);
        expect(state.calls > before).toEqual(true);
        expect(backoff.isWaiting()).toEqual(false);
    });

    it("does not wait after an answer", async () => {
        const { state, run, backoff } = createBackoff();
        state.isDown = true;
        await run(3_000);
        state.isDown = false;
        await run(3_000);
        expect(backoff.isWaiting()).toEqual(false);
    });
});
