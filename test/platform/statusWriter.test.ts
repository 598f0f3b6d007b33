import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import { systemClock } from "../../src/common/index.js";
import type { LiveSettings } from "../../src/platform/nodeSettings.js";
import { StatusWriter } from "../../src/platform/statusWriter.js";
import { StoreClient } from "../../src/platform/storeClient.js";
import { waitUntil } from "../../src/testbench/index.js";
import { TopicState } from "../../src/topics/index.js";
import { createJournal } from "../fixtures/journals.js";
import { StoreStandin } from "./standins/storeStandin.js";

const host = "127.72.65.1";
const port = 8_700;
const topic = "keyed.status";
const self = { id: "node-1", address: host, peerPort: 7_003, failureDomain: "north", region: "south" };
const liveSettings = { get: () => ({ listen: { callers: { port: 7_001 } } }) } as unknown as LiveSettings;

describe("StatusWriter", () => {
    const store = new StoreStandin();
    const client = new StoreClient(`${host}:${port}`, systemClock);
    const writers: StatusWriter[] = [];
    before(() => store.listen(host, port));
    afterEach(() => {
        store.fault = "well";
        for (const writer of writers.splice(0)) {
            writer.stop();
        }
    });
    after(async () => {
        await client.close();
        store.close();
    });

    function createWriter(): StatusWriter {
        const writer = new StatusWriter({ liveSettings, journal: createJournal().journal, store: client, self });
        writers.push(writer);
        return writer;
    }

    /** Reads the topic. The first call after the store's return finds its connection closed. */
    async function readInto(state: TopicState): Promise<void> {
        await waitUntil(async () => {
            const page = await client.createReader(topic).readAll();
            page.map(read => state.apply(read));
            return page.isOk();
        }, { description: "the topic" });
    }

    const countAppends = (): number => store.calls.filter(call => call.startsWith("POST")).length;

    describe("restore", () => {
        it("writes again what the store has lost, and nothing that it has kept", async () => {
            const writer = createWriter();
            const state = new TopicState();
            await writer.writePins("kept", { order: 1, ranks: [1] });
            const copy = store.takeCopy();
            await writer.writePins("lost", { order: 2, ranks: [2] });
            await readInto(state);
            store.restore(copy);
            await readInto(state);
            const before = countAppends();
            await writer.restore(state);
            expect(store.get(topic, "pins/node-1/lost")).toEqual({ order: 2, ranks: [2] });
            expect(countAppends() - before).toEqual(1);
        });

        it("repeats a write that fails", async () => {
            const writer = createWriter();
            const state = new TopicState();
            const copy = store.takeCopy();
            await writer.writePins("app", { order: 3, ranks: [] });
            await readInto(state);
            store.restore(copy);
            await readInto(state);
            store.fault = "busy";
            const before = countAppends();
            const restored = writer.restore(state);
            await waitUntil(() => countAppends() > before, { description: "a write that fails" });
            store.fault = "well";
            await restored;
            expect(store.get(topic, "pins/node-1/app")).toEqual({ order: 3, ranks: [] });
        });

        // Guards against a newer value that is replaced by the one that was lost.
        it("ends with the latest value when another write succeeds meanwhile", async () => {
            const writer = createWriter();
            const state = new TopicState();
            const copy = store.takeCopy();
            await writer.writePins("app", { order: 4, ranks: [] });
            await readInto(state);
            store.restore(copy);
            await readInto(state);
            store.appendDelay = 200;
            const before = countAppends();
            const restored = writer.restore(state);
            await waitUntil(() => countAppends() > before, { description: "the repeated write" });
            store.appendDelay = 0;
            await writer.writePins("app", { order: 5, ranks: [] });
            await restored;
            expect(store.get(topic, "pins/node-1/app")).toEqual({ order: 5, ranks: [] });
        });
    });
});
