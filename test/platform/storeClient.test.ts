import { expect } from "earl";
import { createServer } from "node:http";
import { after, before, describe, it } from "node:test";
import { systemClock } from "../../src/common/index.js";
import { StoreClient } from "../../src/platform/storeClient.js";
import { blockProcess } from "../fixtures/pauses.js";
import { createEndlessRunner, type EndlessAnswer } from "./standins/endlessRunner.js";
import { StoreStandin } from "./standins/storeStandin.js";

const host = "127.72.9.1";
const port = 8_700;
const topic = "keyed.status";

const endlessAnswers: Readonly<Record<string, EndlessAnswer>> = {
    "its head": { start: "HTTP/1.1 200 OK\r\n", repeated: "X-Own: 1\r\n" },
    "heads before the final one": { start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    "its body": { start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x" },
};

function createRecord(value: string) {
    return [{ key: "progress/app", value: Buffer.from(JSON.stringify(value)) }];
}

describe("StoreClient", () => {
    const store = new StoreStandin();
    const client = new StoreClient(`${host}:${port}`, systemClock);
    before(() => store.listen(host, port));
    after(async () => {
        await client.close();
        store.close();
    });

    // Any node may write a step of a roll-out. If two nodes could write the same step, one would complete what the other has just
    // reverted.
    it("appends once for each position and refuses an append that is out of turn", async () => {
        const position = { producer: "progress/app", epoch: 7, sequenceNumber: 1 };
        expect((await client.append(topic, createRecord("first"), position))._unsafeUnwrap()).toEqual("appended");
        await client.append(topic, createRecord("repeated"), position);
        expect(store.get(topic, "progress/app")).toEqual("first");
        expect((await client.append(topic, createRecord("early"), { ...position, sequenceNumber: 3 }))._unsafeUnwrap())
            .toEqual(
                "out-of-turn",
            );
        expect((await client.append(topic, createRecord("old"), { ...position, epoch: 6 }))._unsafeUnwrap()).toEqual(
            "out-of-turn",
        );
        await client.append(topic, createRecord("second"), { ...position, sequenceNumber: 2 });
        expect(store.get(topic, "progress/app")).toEqual("second");
    });

    // Guards against a store that counts as unavailable since this node was paused.
    it("reads an answer that arrived while the process was paused", async () => {
        const server = createServer((...[, response]) => {
            response.writeHead(200).end(Buffer.alloc(16));
            // The answer has left, and the client has not read it.
            setImmediate(() => blockProcess(800));
        });
        await new Promise<void>(resolve => server.listen(port + 1, host, resolve));
        const otherClient = new StoreClient(`${host}:${port + 1}`, systemClock);
        const page = await otherClient.createReader(topic).readSince(0, 0);
        await otherClient.close();
        server.close();
        expect(page._unsafeUnwrap().records).toEqual([]);
    });

    // Guards against a node whose memory or whose time goes to an answer of the store without an end.
    for (const [name, answer] of Object.entries(endlessAnswers)) {
        it(`gives up an answer without an end in ${name}`, async () => {
            const { server, written } = createEndlessRunner(answer);
            await new Promise<void>(resolve => server.listen(port + 2, host, resolve));
            const otherClient = new StoreClient(`${host}:${port + 2}`, systemClock);
            const reader = otherClient.createReader(topic);
            // A long poll may take far longer than the bytes.
            const results = [await reader.readSince(0, 5_000), await reader.readAll()];
            await otherClient.close();
            server.close();
            expect(results.map(result => result._unsafeUnwrapErr().kind)).toEqual(["protocol", "protocol"]);
            expect(written.every(({ bytes }) => bytes < 16 * 1024 * 1024)).toEqual(true);
        });
    }

    // Guards against records of before and after the store's return from an older copy that pass for one history.
    it("does not read on from an offset of before, which is another record now", async () => {
        const other = new StoreStandin();
        await other.listen(host, port + 2);
        const otherClient = new StoreClient(`${host}:${port + 2}`, systemClock);
        const reader = otherClient.createReader(topic);
        const copy = other.takeCopy();
        other.put(topic, "a", "lost");
        const before = (await reader.readAll())._unsafeUnwrap();
        other.restore(copy);
        expect((await reader.readSince(before.endPosition, 0))._unsafeUnwrapErr().kind).toEqual("gone");
        other.put(topic, "b", "written");
        other.put(topic, "c", "written");
        expect((await reader.readSince(before.endPosition, 0))._unsafeUnwrapErr().kind).toEqual("gone");
        const after = (await reader.readAll())._unsafeUnwrap();
        expect(after.records.map(({ key }) => key)).toEqual(["b", "c"]);
        expect(after.records.every(({ position }) => position >= before.endPosition)).toEqual(true);
        const page = await reader.readSince(after.endPosition, 0);
        expect(page._unsafeUnwrap().records).toEqual([]);
        await otherClient.close();
        other.close();
    });

    // Nodes write their own records to the same topic. If a step had to be the topic's next record, each of these records would
    // make it fail, and a roll-out would not progress.
    it("appends consecutive positions although other records are written in between", async () => {
        const position = { producer: "progress/app", epoch: 8, sequenceNumber: 1 };
        await client.append(topic, createRecord("first"), position);
        await client.append(topic, [{ key: "member/n-1", value: Buffer.from("{}") }]);
        await client.append(topic, createRecord("second"), { ...position, sequenceNumber: 2 });
        expect(store.get(topic, "progress/app")).toEqual("second");
    });
});
