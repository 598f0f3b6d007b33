import { expect } from "earl";
import { err, ok, type Result } from "neverthrow";
import { describe, it } from "node:test";
import { createPosition, Failure, ManualClock } from "../../src/common/index.js";
import { type KeyedTopicReader, TopicFollower, type TopicPage } from "../../src/topics/index.js";
import { createJournal } from "../fixtures/journals.js";

type ReadResult = Result<TopicPage, Failure>;

function createPage(position: number, confirmedAt: number, isComplete = false): ReadResult {
    const records = [{ key: "config", value: Buffer.from(String(position)), position }];
    return ok({ records, isComplete, endPosition: position + 1, confirmedAt });
}

function createFailure(kind: "unavailable" | "gone"): ReadResult {
    return err(new Failure({ kind, message: "No.", remedy: "Again." }));
}

/** Follows a topic whose reads return the given answers in order, and stops with the last one. */
async function follow(
    answers: readonly ReadResult[],
    clock = new ManualClock(1_000),
    elapsedMilliseconds = 0,
    source: KeyedTopicReader["source"] = "store",
    later?: { readonly after: number; readonly milliseconds: number; },
) {
    const { journal, lines } = createJournal();
    const calls: string[] = [];
    const fallbackReads: number[] = [];
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
        if (next === later?.after) {
            clock.advance(later.milliseconds);
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
            fallbackReads.push(count);
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
    return { follower, clock, calls, fallbackReads, values, lines, pauses };
}

describe("TopicFollower", () => {
    it("reads the whole topic once and then its changes", async () => {
        const { calls, values } = await follow([createPage(4, 1_000, true), createPage(5, 1_000)]);
        expect([calls, values]).toEqual([["all", "since 5"], ["4", "5"]]);
    });

    // Guards against a burst of calls to the store after a power failure, when all nodes start together. A node that
    // follows a topic before it knows other sources waits for changes at the store. If all nodes did, hundreds of calls
    // would reach the store while it is needed most.
    it("waits after its first read until other sources are known", async () => {
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

    // Guards against a configuration that stays outdated. The store dropped its history while this node was cut off, so
    // the missing records never arrive. Without reading the whole topic again, the node would keep using the old
    // configuration.
    it("reads the whole topic again when its position has expired", async () => {
        const { calls, values } = await follow([
            createPage(4, 1_000, true),
            createFailure("gone"),
            createPage(9, 1_000, true),
        ]);
        expect([calls, values]).toEqual([["all", "since 5", "all"], ["4", "9"]]);
    });

    // Guards against a node that waits behind the end of a topic, or asks for it hundreds of times a second, after the store came back
    // from an older copy.
    it("goes on where the store does after it came back from an older copy, and reads the whole topic again once it has settled", async () => {
        const clock = new ManualClock(1_000);
        const returned = createPosition({ era: 1, offset: 2 });
        const { calls, values, lines } = await follow(
            [
                createPage(4, 1_000, true),
                createFailure("gone"),
                createPage(returned, 20_000, true),
                createPage(returned + 1, 20_000),
                createPage(returned + 1, 20_000, true),
                createPage(returned + 1, 20_000),
            ],
            clock,
            0,
            "store",
            { after: 4, milliseconds: 5_000 },
        );
        const since = (from: number): string => `since ${from}`;
        expect(calls).toEqual(["all", since(5), "all", since(returned + 1), "all", since(returned + 2)]);
        expect(values).toEqual(["4", String(returned), String(returned + 1)]);
        const line = lines.find(({ name }) => name === "store-went-back");
        expect([line?.era, line?.offset]).toEqual([1, 3]);
    });

    // Guards against a store that is asked for the same position without a pause, as what it lists ends before that.
    it("pauses when the whole topic ends before what it knows", async () => {
        const { pauses } = await follow([
            createPage(4, 1_000, true),
            createFailure("gone"),
            createPage(2, 1_000, true),
            createFailure("gone"),
            createPage(2, 1_000, true),
            createPage(5, 1_000),
        ]);
        expect(pauses.filter(milliseconds => milliseconds >= 100).length).toEqual(2);
    });

    // Guards against a hidden lag: the peer that the node reads from is cut off from the store, and answers with a
    // state that nothing confirms. The age must show, and another source must be read.
    it("uses another source when answers leave the state old", async () => {
        const clock = new ManualClock(10_000);
        const { fallbackReads, follower } = await follow(
            [
                createPage(4, 9_900, true),
                createPage(4, 9_950),
                createPage(4, 12_500),
                createPage(4, 12_590),
            ],
            clock,
            2_600,
        );
        expect(fallbackReads).toEqual([0, 0, 1, 1]);
        expect(follower.getAge()).toEqual(10);
    });

    it("counts fallback reads while reading fails, and logs the recovery", async () => {
        const { fallbackReads, lines } = await follow([
            createPage(4, 1_000, true),
            createFailure("unavailable"),
            createFailure("unavailable"),
            createPage(5, 1_000),
        ]);
        expect(fallbackReads).toEqual([0, 0, 1, 2]);
        expect(lines.map(line => line.name)).toEqual(["topic-lost", "topic-regained"]);
    });

    // Guards against late updates: the store rejects the one node that reads it, and peers that kept waiting for its
    // answers would receive a new configuration seconds too late.
    it("reports a read failure to waiting peers at once", async () => {
        const { follower } = await follow([createPage(4, 1_000, true), createFailure("unavailable")]);
        expect(follower.isDegraded()).toEqual(true);
        expect((await follower.waitForChanges(5, 60_000)).records).toEqual([]);
    });

    // Guards against a burst of reads at the store: a node reads from a peer that dies. If it reported that failure to
    // the nodes that read from it, all of them would read the store, although the peer with the next rank answers at
    // once.
    it("is not degraded by the failure of one peer", async () => {
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

    // Guards against too many reads: the records of 90 nodes arrive one by one when a site starts. Read one by one at
    // each node, they cost 8,100 reads.
    it("pauses after a read with changes, and not after one without", async () => {
        const { pauses } = await follow([createPage(4, 1_000, true), createPage(4, 1_000), createPage(5, 1_000)]);
        expect(pauses).toEqual([40, 40]);
    });

    it("returns a change to a waiting peer at once, and an empty page after its wait", async () => {
        const { follower } = await follow([createPage(4, 1_000, true)]);
        const waited = follower.waitForChanges(5, 10_000);
        follower.applyPage({
            records: [{ key: "config", value: Buffer.from("6"), position: 6 }],
            isComplete: false,
            endPosition: 7,
            confirmedAt: 0,
        });
        expect((await waited).endPosition).toEqual(7);
        expect((await follower.waitForChanges(7, 1)).records).toEqual([]);
    });

    // Guards against requests to a departed runner. A node is restarted while runners are replaced. If its first read
    // counted as the end of an outage, it would retain a runner whose entry is withdrawn right after, and send it
    // requests up to two seconds later. Callers would wait for answers that never arrive.
    it("counts a read as the end of an outage after a long time without reads, but not the first read", async () => {
        const { follower, clock } = await follow([createPage(4, 0, true)]);
        expect(follower.getTimeSinceOutage()).toEqual(Number.POSITIVE_INFINITY);
        clock.advance(4_000);
        follower.applyPage(createPage(5, clock.monotonic())._unsafeUnwrap());
        expect(follower.getTimeSinceOutage()).toEqual(0);
    });
});
