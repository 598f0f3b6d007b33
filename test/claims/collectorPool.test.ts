import { expect } from "earl";
import { describe, it } from "node:test";
import { createRunKey } from "../../src/claims/index.js";
import { createClaimNode } from "../fixtures/claimNodes.js";
import { MemoryLog } from "../fixtures/memoryLog.js";

describe("CollectorPool", () => {
    // A node stops while it still repeats the release of a key that the log did not confirm. The release started a collector anew,
    // which read the log for good, and the process never ended.
    it("decides nothing after its stop, and reads the log no more", async () => {
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
