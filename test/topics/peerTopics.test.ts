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
            throw new Error("unexpected read");
        },
        staleMilliseconds: 2_500,
        outageMilliseconds: 3_000,
        waitMilliseconds: 700,
        onChanges: () => {},
    });
}

/** Creates a reader through a peer whose replies are delayed. */
function createReader(options: { readonly stateAge: number; readonly replyDelay: number; }) {
    const peerClock = new ManualClock(500_000);
    const follower = createFollower(peerClock);
    follower.applyPage({
        records: [{ key: "config", value: Buffer.from("{}"), position: 3 }, {
            key: "old",
            value: undefined,
            position: 4,
        }],
        isComplete: true,
        endPosition: 5,
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
    it("transfers records and removals", async () => {
        const { reader } = createReader({ stateAge: 0, replyDelay: 1 });
        const page = (await reader.readSince(4, 0))._unsafeUnwrap();
        expect(page.records).toEqual([{ key: "old", value: undefined, position: 4 }]);
        expect((await reader.readAll())._unsafeUnwrap().records.map(record => record.key)).toEqual(["config"]);
    });

    // Guards against an outage of a restarted node while the store is unavailable to all. The state of its peers is
    // old, but they report its age. Without that state, the node could serve no requests until the store is back.
    it("returns an old state only to a peer without any state", async () => {
        const { reader } = createReader({ stateAge: 60_000, replyDelay: 1 });
        expect((await reader.readAll())._unsafeUnwrap().records.length).toEqual(1);
        await expect(() => reader.readSince(4, 0)).toBeRejected();
    });

    // Guards against the use of revoked keys. A reply is delayed by four seconds on a faulty link. Measured from its
    // arrival, the state would count as fresh, and a key that was removed in the meantime would be accepted.
    it("measures the age of a state from the time at which the query was sent", async () => {
        const { reader, clock } = createReader({ stateAge: 300, replyDelay: 4_000 });
        const page = (await reader.readSince(4, 0))._unsafeUnwrap();
        expect(clock.monotonic() - page.confirmedAt).toEqual(4_300);
    });
});
