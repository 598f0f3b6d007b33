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

/** Takes the polls of each round from the one after the first on. */
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
    // An entry has just started and knows no upstream's versions. Were some of them asked only when their turn comes,
    // callers would be refused for a while although there is room.
    it("asks everybody it does not know, at once", () => {
        expect(createSchedule(4).take(createCandidates(30), 0).length).toEqual(30);
    });

    // A site grows from ten upstreams to hundreds. Asked each twice a second, they take several times the processor
    // time that control may take, and tokens come late.
    it("asks no more often than the bound, whatever the number of upstreams", () => {
        const rounds = takeRounds(createSchedule(5), 40, () => createCandidates(100));
        expect(rounds.flat().length).toEqual(100);
        expect(Math.max(...rounds.map(polls => polls.length)) <= 3).toEqual(true);
    });

    it("asks each as often as the interval allows while the bound leaves room", () => {
        const rounds = takeRounds(createSchedule(100), 10, () => createCandidates(6));
        expect(rounds.map(polls => polls.length)).toEqual(new Array(10).fill(6));
    });

    // An upstream is about to leave and says so only when it is asked. Passed over for one that answers all the time,
    // or asked never because it is busy itself, it would go on getting new work.
    it("asks everybody in turn, also those whose answers come all the time", () => {
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

    it("asks those first that were heard longest ago", () => {
        const schedule = createSchedule(2);
        const answered = { id: "answered", answeredAt: 800, isPending: false };
        const silent = { id: "silent", answeredAt: undefined, isPending: false };
        schedule.take([answered, silent], 0);
        expect(schedule.take([answered, silent], 1_000).map(({ id }) => id)).toEqual(["silent"]);
    });

    // An upstream is frozen and does not answer. Asked again and again, it would use up the bound.
    it("passes over one that has not answered yet", () => {
        const rounds = takeRounds(createSchedule(4), 10, () => createCandidates(2, { isPending: true }));
        expect(rounds.flat()).toEqual([]);
    });

    // A node was paused for a minute. Were all the questions of that minute asked at once, hundreds of nodes that
    // share a host would do so together.
    it("does not make up for a pause", () => {
        const schedule = createSchedule(4);
        schedule.take(createCandidates(100), 0);
        expect(schedule.take(createCandidates(100), 60_000).length).toEqual(4);
    });

    it("reads cache events with the first of four questions", () => {
        const rounds = takeRounds(createSchedule(100), 8, () => createCandidates(1));
        expect(rounds.flat().map(poll => poll.hasCacheEvents))
            .toEqual([false, false, false, true, false, false, false, true]);
    });
});
