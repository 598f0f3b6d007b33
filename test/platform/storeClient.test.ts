import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { systemClock } from "../../src/common/index.js";
import { StoreClient } from "../../src/platform/storeClient.js";
import { StoreStandin } from "./standins/storeStandin.js";

const host = "127.72.9.1";
const port = 8_700;
const topic = "keyed.status";

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
        const turn = { matter: "progress/app", epoch: 7, number: 1 };
        expect((await client.append(topic, createRecord("first"), turn))._unsafeUnwrap()).toEqual("appended");
        await client.append(topic, createRecord("repeated"), turn);
        expect(store.get(topic, "progress/app")).toEqual("first");
        expect((await client.append(topic, createRecord("early"), { ...turn, number: 3 }))._unsafeUnwrap()).toEqual(
            "out-of-turn",
        );
        expect((await client.append(topic, createRecord("old"), { ...turn, epoch: 6 }))._unsafeUnwrap()).toEqual(
            "out-of-turn",
        );
        await client.append(topic, createRecord("second"), { ...turn, number: 2 });
        expect(store.get(topic, "progress/app")).toEqual("second");
    });

    // Nodes write their own records to the same topic. When a step had to be the topic's next record, it lost against all of them.
    it("appends in turn although other records lie in between", async () => {
        const turn = { matter: "progress/app", epoch: 8, number: 1 };
        await client.append(topic, createRecord("first"), turn);
        await client.append(topic, [{ key: "member/n-1", value: Buffer.from("{}") }]);
        await client.append(topic, createRecord("second"), { ...turn, number: 2 });
        expect(store.get(topic, "progress/app")).toEqual("second");
    });
});
