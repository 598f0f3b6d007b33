import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { Evidence } from "../../../src/decisions/model/index.js";

const startTime = 1_800_000_000_000;
const version = "plan-small@1";
const requestClass = "plans";

describe("Evidence", () => {
    describe("merge", () => {
        it("results in the same counts for any order and repetition of messages", () => {
            const clock = new ManualClock(startTime);
            const random = new RandomSource(3);
            const nodes = [new Evidence({ clock }), new Evidence({ clock })];
            const messages: { origin: string; counts: ReturnType<Evidence["exportOwn"]>; }[] = [];
            for (let step = 0; step < 200; step += 1) {
                clock.advance(700);
                const origin = random.nextInteger(2);
                nodes[origin].addAnswer({ version, requestClass, failed: step % 7 === 0, slow: false });
                nodes[origin].addRating({ version, requestClass, score: random.next() });
                messages.push({ origin: `node-${origin}`, counts: nodes[origin].exportOwn() });
            }
            const forward = mergeAll(clock, messages);
            const backward = mergeAll(clock, [...messages].reverse());
            const twice = mergeAll(clock, [...messages, ...messages]);
            expect(describeCounts(forward).ratings).toEqual(200);
            expect(describeCounts(backward)).toEqual(describeCounts(forward));
            expect(describeCounts(twice)).toEqual(describeCounts(forward));
        });

        it("merges changes since a given sequence number as well as complete counts", () => {
            const clock = new ManualClock(startTime);
            const sender = new Evidence({ clock });
            const receiver = new Evidence({ clock });
            sender.addRating({ version, requestClass, score: 1 });
            const first = sender.exportOwn();
            receiver.merge("sender", first);
            sender.addRating({ version, requestClass: "other", score: 0 });
            const change = sender.exportOwn(first.sequence);
            expect(change.series.length).toEqual(1);
            receiver.merge("sender", change);
            expect(describeCounts(receiver).ratings).toEqual(1);
            expect(receiver.getDecayedTally(version, "other").ratings).toEqual(1);
        });
    });

    describe("markDeparted", () => {
        // Guards against losing the counts of an entry that is replaced. Without its ratings of a bad version, its
        // successors would send as many requests to that version again.
        it("retains the counts of a departed node until they are old", () => {
            const clock = new ManualClock(startTime);
            const departing = new Evidence({ clock });
            const staying = new Evidence({ clock });
            departing.addRating({ version, requestClass, score: 0.5 });
            staying.merge("departing", departing.exportOwn());
            staying.markDeparted("departing");
            expect(describeCounts(staying).ratings).toEqual(1);
            clock.advance(10 * 3_600_000);
            staying.markDeparted("departing");
            expect(describeCounts(staying).ratings).toEqual(0);
        });
    });

    describe("addRating", () => {
        it("needs bounded memory over a day and retains all counts of the last hour", () => {
            const clock = new ManualClock(startTime);
            const evidence = new Evidence({ clock });
            for (let second = 0; second < 86_400; second += 10) {
                clock.advance(10_000);
                evidence.addRating({ version, requestClass, score: 0.5 });
            }
            const buckets = evidence.getBuckets(version, requestClass);
            expect(buckets.length < 60).toEqual(true);
            const hourAgo = evidence.getEpoch(clock.wall() - 3_600_000);
            let recent = 0;
            for (const bucket of buckets) {
                recent += bucket.start + 2 ** bucket.level > hourAgo ? bucket.tally.ratings : 0;
            }
            expect(recent >= 360).toEqual(true);
        });
    });
});

function mergeAll(
    clock: ManualClock,
    messages: readonly { origin: string; counts: ReturnType<Evidence["exportOwn"]>; }[],
): Evidence {
    const evidence = new Evidence({ clock });
    for (const { origin, counts } of messages) {
        evidence.merge(origin, JSON.parse(JSON.stringify(counts)));
    }
    return evidence;
}

function describeCounts(evidence: Evidence) {
    let ratings = 0;
    let failed = 0;
    let sum = 0;
    for (const { tally } of evidence.getBuckets(version, requestClass)) {
        ratings += tally.ratings;
        failed += tally.failed;
        sum += Math.round(tally.scoreSum * 1000);
    }
    return { ratings, failed, sum };
}
