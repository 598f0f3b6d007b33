import { expect } from "earl";
import { err, ok, type Result } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, ManualClock } from "../../src/common/index.js";
import { type KeyedTopicReader, TopicFollower, type TopicPage } from "../../src/topics/index.js";
import { createJournal } from "../fixtures/journals.js";

type ReadResult = Result<TopicPage, Failure>;

function createPage(offset: number, confirmedAt: number, isComplete = false): ReadResult {
    const records = [{ key: "config", value: Buffer.from(String(offset)), offset }];
    return ok({ records, isComplete, endOffset: offset + 1, confirmedAt });
}

function createFailure(kind: "unavailable" | "gone"): ReadResult {
    return err(new Failure({ kind, message: "No.", remedy: "Again." }));
}

/** Follows a topic of which each read gives the next of the given answers; ends with the last one. */
async function follow(
    answers: readonly ReadResult[],
    clock = new ManualClock(1_000),
    elapsedMilliseconds = 0,
    source: KeyedTopicReader["source"] = "store",
) {
    const { journal, lines } = createJournal();
    const calls: string[] = [];
    const detours: number[] = [];
    const values: string[] = [];
    const pauses: number[] = [];
    let next = 0;
    const answer = (call: string): Promise<ReadResult> => {
        calls.push(call);
        const result = answers[next];
        next += 1;
        if (next === 2) {
            clock.advance(elapsedMilliseconds);
        }
        if (next >= answers.length) {
            follower.stop();
        }
        return Promise.resolve(result);
    };
    const reader: KeyedTopicReader = {
        source,
        readAll: () => answer("all"),
        readSince: from => answer(`since ${from}`),
    };
    const follower: TopicFollower = new TopicFollower({
        name: "operator",
        clock,
        journal,
        pickReader: count => {
            detours.push(count);
            return reader;
        },
        staleMilliseconds: 2_500,
        outageMilliseconds: 3_000,
        waitMilliseconds: 700,
        onChanges: changed => values.push(...changed.map(record => record.value?.toString() ?? "")),
        getPause: () => 40,
        sleep: milliseconds => {
            pauses.push(milliseconds);
            return Promise.resolve();
        },
    });
    follower.start();
    await follower.waitUntilStopped();
    return { follower, clock, calls, detours, values, lines, pauses };
}

describe("TopicFollower", () => {
    it("reads everything once and then what changes", async () => {
        const { calls, values } = await follow([createPage(4, 1_000, true), createPage(5, 1_000)]);
        expect([calls, values]).toEqual([["all", "since 5"], ["4", "5"]]);
    });

    // All nodes of a fleet start together after a loss of power. A node that follows a topic before it knows whom else to ask waits
    // for changes at the store, and so does every other one: hundreds of calls in the second in which the store is needed most.
    it("waits after its first read until it knows whom else to ask", async () => {
        const order: string[] = [];
        const reader: KeyedTopicReader = {
            source: "store",
            readAll: async () => {
                order.push("all");
                return createPage(4, 1_000, true);
            },
            readSince: async () => {
                order.push("since");
                follower.stop();
                return createPage(5, 1_000);
            },
        };
        const follower: TopicFollower = new TopicFollower({
            name: "operator",
            clock: new ManualClock(1_000),
            journal: createJournal().journal,
            pickReader: () => reader,
            staleMilliseconds: 2_500,
            outageMilliseconds: 3_000,
            waitMilliseconds: 700,
            waitForPeers: async () => void order.push("peers known"),
            onChanges: () => undefined,
        });
        follower.start();
        await follower.waitUntilStopped();
        expect(order).toEqual(["all", "peers known", "since"]);
    });

    // The store dropped its history while this node was cut off. The records in between will never come; without reading
    // everything again, the node would serve by an old configuration for good.
    it("reads everything again when its offset has expired", async () => {
        const { calls, values } = await follow([
            createPage(4, 1_000, true),
            createFailure("gone"),
            createPage(9, 1_000, true),
        ]);
        expect([calls, values]).toEqual([["all", "since 5", "all"], ["4", "9"]]);
    });

    // The peer that it reads from is cut off from the store: it answers, with a state that nobody confirms. Its age must
    // not be hidden, and another source has to be asked.
    it("tries elsewhere when answers leave the state old", async () => {
        const clock = new ManualClock(10_000);
        const { detours, follower } = await follow(
            [
                createPage(4, 9_900, true),
                createPage(4, 9_950),
                createPage(4, 12_500),
                createPage(4, 12_590),
            ],
            clock,
            2_600,
        );
        expect(detours).toEqual([0, 0, 1, 1]);
        expect(follower.getAge()).toEqual(10);
    });

    it("counts detours while reading fails, and says when it works again", async () => {
        const { detours, lines } = await follow([
            createPage(4, 1_000, true),
            createFailure("unavailable"),
            createFailure("unavailable"),
            createPage(5, 1_000),
        ]);
        expect(detours).toEqual([0, 0, 1, 2]);
        expect(lines.map(line => line.name)).toEqual(["topic-lost", "topic-regained"]);
    });

    // The one node that reads the store is turned away by it. Peers that went on waiting for its answers would hear of a new
    // configuration seconds too late.
    it("tells waiting peers at once that reading fails", async () => {
        const { follower } = await follow([createPage(4, 1_000, true), createFailure("unavailable")]);
        expect(follower.isDegraded()).toEqual(true);
        expect((await follower.waitForChanges(5, 60_000)).records).toEqual([]);
    });

    // A node hears from a peer that dies. Had it told those who hear from it in turn, all of them would turn to the store, though
    // the next peer by rank answers at once.
    it("does not take the failure of one peer for its own", async () => {
        const { follower, pauses } = await follow(
            [createPage(4, 1_000, true), createFailure("unavailable")],
            undefined,
            0,
            "peer",
        );
        expect([follower.isDegraded(), pauses]).toEqual([false, [40]]);
        const failed = await follow(
            [createPage(4, 1_000, true), createFailure("unavailable"), createFailure("unavailable")],
            undefined,
            0,
            "peer",
        );
        expect(failed.follower.isDegraded()).toEqual(true);
    });

    // The records of 90 nodes come one by one as a site starts. Read one by one at each node, they are 8,100 reads.
    it("waits a little for more after a change, and not without one", async () => {
        const { pauses } = await follow([createPage(4, 1_000, true), createPage(4, 1_000), createPage(5, 1_000)]);
        expect(pauses).toEqual([40, 40]);
    });

    it("lets a waiting peer know of a change at once, and of nothing after its wait", async () => {
        const { follower } = await follow([createPage(4, 1_000, true)]);
        // Ages are counted from now on.
        const waited = follower.waitForChanges(5, 10_000);
        follower.applyPage({
            records: [{ key: "config", value: Buffer.from("6"), offset: 6 }],
            isComplete: false,
            endOffset: 7,
            confirmedAt: 0,
        });
        expect((await waited).endOffset).toEqual(7);
        expect((await follower.waitForChanges(7, 1)).records).toEqual([]);
    });

    // A node is restarted while runners are replaced. It takes its first read for the end of an outage, keeps a runner whose entry
    // is withdrawn right after, and sends it requests up to two seconds later, when the runner may be gone: callers wait for
    // answers that never come.
    it("takes the first read for no end of an outage, and a read after a long silence for one", async () => {
        const { follower, clock } = await follow([createPage(4, 0, true)]);
        expect(follower.getTimeSinceOutage()).toEqual(Number.POSITIVE_INFINITY);
        clock.advance(4_000);
        follower.applyPage(createPage(5, clock.monotonic())._unsafeUnwrap());
        expect(follower.getTimeSinceOutage()).toEqual(0);
    });
});
