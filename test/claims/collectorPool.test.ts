import { expect } from "earl";
import { describe, it } from "node:test";
import { createRunKey } from "../../src/claims/index.js";
import { createClaimNode } from "../fixtures/claimNodes.js";
import { MemoryLog } from "../fixtures/memoryLog.js";

describe("CollectorPool", () => {
    // Guards against a process that never exits: a node stops while it retries the release of a key that the log did
    // not confirm. The retry started a new collector, which kept reading the log.
    it("decides nothing and does not read the log after it was stopped", async () => {
        const log = new MemoryLog();
        let followers = 0;
        const node = createClaimNode({
            log: {
                append: (stream, record) => log.append(stream, record),
                follow: options => {
                    followers += 1;
                    return log.follow(options);
                },
            },
        });
        const key = createRunKey("dalisay", "label-1");
        expect((await node.client.claim({ key, value: "r1", requestId: "r1" })).isOk()).toEqual(true);
        await node.stop();
        const before = followers;
        const refused = await node.client.claim({ key, value: "r2", requestId: "r2" });
        expect(refused._unsafeUnwrapErr().mayHaveTakenEffect).toEqual(false);
        expect(followers).toEqual(before);
    });
});
