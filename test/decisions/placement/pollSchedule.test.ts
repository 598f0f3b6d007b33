import { expect } from "earl";
import { describe, it } from "node:test";
import { type Poll, type PollCandidate, PollSchedule } from "../../../src/decisions/placement/index.js";

const roundMilliseconds = 500;

function createSchedule(pollsPerSecond: number): PollSchedule {
    return new PollSchedule({ pollsPerSecond, intervalMilliseconds: roundMilliseconds });
}

function createCandidates(count: number, change: Partial<PollCandidate> = {}): PollCandidate[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `runner-${index}`,
        answeredAt: undefined,
        isPending: false,
        ...change,
    }));
}

/** Takes the polls of all rounds after the first. */
function takeRounds(
    schedule: PollSchedule,
    rounds: number,
    getCandidates: (now: number) => readonly PollCandidate[],
): readonly (readonly Poll[])[] {
    schedule.take(getCandidates(0), 0);
    return Array.from({ length: rounds }, (_, round) => {
        const now = (round + 1) * roundMilliseconds;
        return schedule.take(getCandidates(now), now);
    });
}

describe("PollSchedule", () => {
    // Guards against refusals after a start. The entry knows no upstream's versions yet; if it polled some upstreams only in turn,
    // callers would be refused for a while although there is free capacity.
    it("polls all unknown upstreams at once", () => {
        expect(createSchedule(4).take(createCandidates(30), 0).length).toEqual(30);
    });

    // Guards against a poll rate that grows with the number of upstreams. With hundreds of upstreams, two polls a second of each take
    // several times the processor time that control may use, and tokens are late.
    it("does not exceed the rate limit, whatever the number of upstreams", () => {
        const rounds = takeRounds(createSchedule(5), 40, () => createCandidates(100));
        expect(rounds.flat().length).toEqual(100);
        expect(Math.max(...rounds.map(polls => polls.length)) <= 3).toEqual(true);
    });

    it("polls each upstream at the interval while the rate limit allows it", () => {
        const rounds = takeRounds(createSchedule(100), 10, () => createCandidates(6));
        expect(rounds.map(polls => polls.length)).toEqual(new Array(10).fill(6));
    });

    // Guards against upstreams that are never polled. An upstream reports that it is about to leave only when it is polled. If answers
    // of it or of others postponed its poll forever, it would go on getting new requests.
    it("polls all upstreams in turn, also those that answer all the time", () => {
        const rounds = takeRounds(createSchedule(10), 40, now =>
            createCandidates(30).map((candidate, index) => ({
                ...candidate,
                answeredAt: index < 15 ? now : undefined,
            })));
        const counts = new Map<string, number>();
        for (const { id } of rounds.flat()) {
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
        expect(counts.size).toEqual(30);
        expect(Math.min(...counts.values()) >= 4).toEqual(true);
    });

    it("polls the upstreams first that were seen least recently", () => {
        const schedule = createSchedule(2);
        const answered = { id: "answered", answeredAt: 800, isPending: false };
        const silent = { id: "silent", answeredAt: undefined, isPending: false };
        schedule.take([answered, silent], 0);
        expect(schedule.take([answered, silent], 1_000).map(({ id }) => id)).toEqual(["silent"]);
    });

    // Guards against polls of an upstream that hangs: repeated polls of it would use up the rate limit.
    it("skips an upstream that has not answered the last poll yet", () => {
        const rounds = takeRounds(createSchedule(4), 10, () => createCandidates(2, { isPending: true }));
        expect(rounds.flat()).toEqual([]);
    });

    // Guards against a burst after a pause. If a node sent all polls of a minute's pause at once, hundreds of nodes that share a host
    // would do so at the same time.
    it("does not send the missed polls of a pause", () => {
        const schedule = createSchedule(4);
        schedule.take(createCandidates(100), 0);
        expect(schedule.take(createCandidates(100), 60_000).length).toEqual(4);
    });

    it("reads cache events with the first of every four polls", () => {
        const rounds = takeRounds(createSchedule(100), 8, () => createCandidates(1));
        expect(rounds.flat().map(poll => poll.hasCacheEvents))
            .toEqual([false, false, false, true, false, false, false, true]);
    });
});
