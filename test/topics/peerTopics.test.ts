import { expect } from "earl";
import { ok } from "neverthrow";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { createPeerReader, handleFetchState, TopicFollower } from "../../src/topics/index.js";
import { createJournal } from "../fixtures/journals.js";

const peer = { id: "10.0.0.2", address: "10.0.0.2", peerPort: 9 };

function createFollower(clock: ManualClock): TopicFollower {
    return new TopicFollower({
        name: "operator",
        clock,
        journal: createJournal().journal,
        pickReader: () => {
            throw new Error("Not read here.");
        },
        staleMilliseconds: 2_500,
        outageMilliseconds: 3_000,
        waitMilliseconds: 700,
        onChanges: () => {},
    });
}

/** A reader through a peer whose answers take some time on their way back. */
function createReader(options: { readonly stateAge: number; readonly replyDelay: number; }) {
    const peerClock = new ManualClock(500_000);
    const follower = createFollower(peerClock);
    follower.applyPage({
        records: [{ key: "config", value: Buffer.from("{}"), offset: 3 }, { key: "old", value: undefined, offset: 4 }],
        isComplete: true,
        endOffset: 5,
        confirmedAt: peerClock.monotonic() - options.stateAge,
    });
    const clock = new ManualClock(1_000);
    const reader = createPeerReader({
        topic: "operator",
        peer,
        clock,
        query: async (...[, request]) => {
            const reply = await handleFetchState(follower, request, peerClock);
            clock.advance(options.replyDelay);
            return ok(reply);
        },
    });
    return { reader, clock };
}

describe("createPeerReader", () => {
    it("brings records and removals over", async () => {
        const { reader } = createReader({ stateAge: 0, replyDelay: 1 });
        const page = (await reader.readSince(4, 0))._unsafeUnwrap();
        expect(page.records).toEqual([{ key: "old", value: undefined, offset: 4 }]);
        expect((await reader.readAll())._unsafeUnwrap().records.map(record => record.key)).toEqual(["config"]);
    });

    // The store is away for everybody, and a node starts anew. Its peers' knowledge is old, but it says how old; without it the
    // node would serve nobody until the store is back.
    it("gives an old state to a peer that knows nothing, and to no other", async () => {
        const { reader } = createReader({ stateAge: 60_000, replyDelay: 1 });
        expect((await reader.readAll())._unsafeUnwrap().records.length).toEqual(1);
        await expect(() => reader.readSince(4, 0)).toBeRejected();
    });

    // An answer is held up on a cut link for four seconds and then delivered. It was fresh when it left. Counted from its
    // arrival, the state would pass for a fresh one, and a key that was taken away meanwhile would be accepted.
    it("counts the age of a state from the sending of the question", async () => {
        const { reader, clock } = createReader({ stateAge: 300, replyDelay: 4_000 });
        const page = (await reader.readSince(4, 0))._unsafeUnwrap();
        expect(clock.monotonic() - page.confirmedAt).toEqual(4_300);
    });
});
