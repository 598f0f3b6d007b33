import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { ExtraShare, WindowedRetryBudget } from "../../../src/decisions/index.js";

const windowMilliseconds = 10_000;
const ratio = 0.9;
const extra = 40;
const nodeCount = 8;
const stepMilliseconds = 50;
const checkMilliseconds = 250;
const seconds = 60;
const maxRetriesOfRequest = 3;

/** What is done to the nodes in one step. */
interface Fleet {
    readonly random: RandomSource;
    readonly restart: (index: number) => void;
    readonly pause: (index: number, milliseconds: number) => void;
}

/** A load and what is done to the nodes while it lasts. */
interface Replay {
    /** Returns the requests a second that callers send to all nodes. */
    readonly getRate: (milliseconds: number) => number;
    /** Returns whether requests fail at all upstreams. */
    readonly isFailing?: (milliseconds: number) => boolean;
    /** Returns the time after which an attempt that began at a time fails; by default it fails at once. */
    readonly getDuration?: (milliseconds: number, random: RandomSource) => number;
    /** Returns the index of the node that gets a request; by default one that is drawn. */
    readonly chooseNode?: (milliseconds: number, random: RandomSource) => number;
    readonly disturb?: (milliseconds: number, fleet: Fleet) => void;
    readonly seed?: number;
    readonly nodes?: number;
}

/** An attempt of a request that goes on. */
interface Attempt {
    readonly budget: WindowedRetryBudget;
    readonly retriesLeft: number;
    readonly failsAt: number;
}

/** Replays a load on the budgets of all nodes, and returns the windows with more retries than the users' rule allows. */
function replay(
    {
        getRate,
        isFailing = () => true,
        getDuration = () => 0,
        nodes = nodeCount,
        chooseNode = (...[, random]) => random.nextInteger(nodes),
        disturb,
        seed = 1,
    }: Replay,
): { readonly retries: number; readonly broken: readonly number[]; } {
    const clock = new ManualClock(100_000);
    const random = new RandomSource(seed);
    const getElapsed = (): number => clock.monotonic() - 100_000;
    const createNode = () => {
        const share = new ExtraShare({
            clock,
            suspensionClock: clock,
            windowMilliseconds,
            getNodeCount: () => nodes,
            getListAge: () => 0,
            isListed: () => true,
        });
        return new WindowedRetryBudget({
            clock,
            windowMilliseconds,
            getAllowance: () => ({ ratio, extra }),
            getShare: () => share.get(),
        });
    };
    const budgets = Array.from({ length: nodes }, createNode);
    const pausedSince = new Map<number, number>();
    const pausedUntil = new Map<number, number>();
    const unread = Array.from({ length: nodes }, () => 0);
    const sent: number[] = [];
    const retried: number[] = [];
    const fleet: Fleet = {
        random,
        restart: index => {
            budgets[index] = createNode();
            unread[index] = 0;
            pausedUntil.delete(index);
        },
        pause: (index, milliseconds) => {
            pausedSince.set(index, clock.monotonic());
            pausedUntil.set(index, clock.monotonic() + milliseconds);
        },
    };
    const running = new Map<WindowedRetryBudget, readonly Attempt[]>();
    const begin = (budget: WindowedRetryBudget, retriesLeft: number): Attempt => ({
        budget,
        retriesLeft,
        failsAt: getElapsed() + getDuration(getElapsed(), random),
    });
    /** Returns the attempt that goes on after one has failed and was repeated, perhaps several times. */
    const repeat = (failed: Attempt): Attempt | undefined => {
        let attempt = failed;
        while (attempt.failsAt <= getElapsed()) {
            if (!isFailing(getElapsed()) || attempt.retriesLeft === 0 || !attempt.budget.tryAcquire()) {
                return undefined;
            }
            retried.push(getElapsed());
            attempt = begin(attempt.budget, attempt.retriesLeft - 1);
        }
        return attempt;
    };
    const work = (budget: WindowedRetryBudget, requests: number, sentAt: number): void => {
        const attempts: Attempt[] = [];
        for (const attempt of running.get(budget) ?? []) {
            attempts.push(...[repeat(attempt) ?? []].flat());
        }
        for (let request = 0; request < requests; request += 1) {
            budget.addRequest(sentAt);
            attempts.push(...[repeat(begin(budget, maxRetriesOfRequest)) ?? []].flat());
        }
        running.set(budget, attempts);
    };
    let due = 0;
    while (getElapsed() < seconds * 1_000) {
        clock.advance(stepMilliseconds);
        disturb?.(getElapsed(), fleet);
        due += getRate(getElapsed()) * stepMilliseconds / 1_000;
        for (; due >= 1; due -= 1) {
            const index = chooseNode(getElapsed(), random);
            sent.push(getElapsed());
            unread[index] += 1;
        }
        for (let index = 0; index < nodes; index += 1) {
            const until = pausedUntil.get(index);
            if (until !== undefined && clock.monotonic() < until) {
                continue;
            }
            pausedUntil.delete(index);
            const sentAt = until === undefined ? clock.monotonic() : pausedSince.get(index)!;
            work(budgets[index], unread[index], sentAt);
            unread[index] = 0;
        }
    }
    return { retries: retried.length, broken: findBrokenWindows(sent, retried) };
}

function findBrokenWindows(sent: readonly number[], retried: readonly number[]): readonly number[] {
    const broken: number[] = [];
    for (let from = 0; from < seconds * 1_000; from += checkMilliseconds) {
        const requests = [from, from - windowMilliseconds / 2, from - windowMilliseconds].map(at => count(sent, at));
        if (count(retried, from) > ratio * Math.max(...requests) + extra) {
            broken.push(from);
        }
    }
    return broken;
}

function count(times: readonly number[], from: number): number {
    return times.filter(at => at >= from && at < from + windowMilliseconds).length;
}

/** Creates the choice of nodes of callers that move from one half of the nodes to the other and back. */
function createMoves(milliseconds: number, nodes: number): NonNullable<Replay["chooseNode"]> {
    const half = nodes / 2;
    return (at, random) => random.nextInteger(half) + (at % (2 * milliseconds) < milliseconds ? 0 : half);
}

/** Returns whether something that happens again and again happens in this step. */
function isTime(milliseconds: number, every: number): boolean {
    return milliseconds % every < stepMilliseconds;
}

// All upstreams fail, and processes end, pause or begin; more retries than all nodes may send together would overload the upstreams.
describe("the retry budgets of all nodes", () => {
    it("hold while nothing is done to them, and are used", () => {
        const { retries, broken } = replay({ getRate: () => 40 });
        expect({ broken, isUsed: retries > 0.75 * ratio * 40 * seconds }).toEqual({ broken: [], isUsed: true });
    });

    it("hold while all processes begin anew again and again", () => {
        const disturb: Replay["disturb"] = (at, { restart }) => {
            for (let index = 0; index < nodeCount && isTime(at, 1_000); index += 1) {
                restart(index);
            }
        };
        expect(replay({ getRate: () => 8, disturb }).broken).toEqual([]);
    });

    it("hold while all processes pause and read the requests of seconds at once", () => {
        for (const pauseMilliseconds of [1_000, 4_000, 8_000]) {
            const disturb: Replay["disturb"] = (at, { pause }) => {
                for (let index = 0; index < nodeCount && isTime(at, pauseMilliseconds + 2_500); index += 1) {
                    pause(index, pauseMilliseconds);
                }
            };
            expect(replay({ getRate: () => 40, disturb }).broken).toEqual([]);
        }
    });

    it("hold while requests come in bursts of which the first did not fail", () => {
        for (const everyMilliseconds of [3_000, 7_000, 9_000, 11_000]) {
            const getRate: Replay["getRate"] = at => at % everyMilliseconds < 500 ? 200 : 0;
            const isFailing: Replay["isFailing"] = at => at % (2 * everyMilliseconds) >= everyMilliseconds;
            expect(replay({ getRate, isFailing }).broken).toEqual([]);
        }
    });

    it("hold while callers move from some nodes to the others and their requests last before they fail", () => {
        const brokenCases: (readonly [number, number])[] = [];
        for (const moveMilliseconds of [3_000, 5_000, 10_000, 20_000]) {
            for (const durationMilliseconds of [0, 1_000, 3_000, 6_000, 9_000]) {
                const { broken } = replay({
                    getRate: at => at % 20_000 < 10_000 ? 60 : 2,
                    getDuration: () => durationMilliseconds,
                    chooseNode: createMoves(moveMilliseconds, nodeCount),
                });
                if (broken.length > 0) {
                    brokenCases.push([moveMilliseconds, durationMilliseconds]);
                }
            }
        }
        expect(brokenCases).toEqual([]);
    });

    it("hold while callers move among so many nodes that each gets a request a second or fewer", () => {
        const brokenCases: (readonly [number, number])[] = [];
        for (const nodes of [60, 120]) {
            for (const moveMilliseconds of [3_000, 5_000, 10_000]) {
                const { broken } = replay({
                    nodes,
                    getRate: at => at % 20_000 < 10_000 ? 60 : 2,
                    getDuration: () => 3_000,
                    chooseNode: createMoves(moveMilliseconds, nodes),
                });
                if (broken.length > 0) {
                    brokenCases.push([nodes, moveMilliseconds]);
                }
            }
        }
        expect(brokenCases).toEqual([]);
    });

    it("hold while so many nodes that each gets few requests are left alone", () => {
        const brokenCases: (readonly [number, number])[] = [];
        for (const nodes of [30, 60, 120]) {
            for (const rate of [5, 20, 40, 60, 100]) {
                if (replay({ nodes, getRate: () => rate }).broken.length > 0) {
                    brokenCases.push([nodes, rate]);
                }
            }
        }
        expect(brokenCases).toEqual([]);
    });

    it("hold while load, callers and the time to a failure change in any order", () => {
        const brokenSeeds: number[] = [];
        for (let seed = 1; seed <= 50; seed += 1) {
            const drawn = new RandomSource(seed);
            const steps = Array.from({ length: seconds }, () => ({
                rate: drawn.nextInteger(80),
                first: drawn.nextInteger(nodeCount),
                nodes: 1 + drawn.nextInteger(nodeCount),
                duration: drawn.nextInteger(10_000),
            }));
            const changeMilliseconds = 1_000 * (1 + seed % 7);
            const getStep = (at: number) => steps[Math.floor(at / changeMilliseconds) % steps.length];
            const { broken } = replay({
                getRate: at => getStep(at).rate,
                getDuration: at => getStep(at).duration,
                chooseNode: (at, random) => (getStep(at).first + random.nextInteger(getStep(at).nodes)) % nodeCount,
                seed,
            });
            if (broken.length > 0) {
                brokenSeeds.push(seed);
            }
        }
        expect(brokenSeeds).toEqual([]);
    });

    it("hold while anything of that happens in any order", () => {
        for (let seed = 1; seed <= 50; seed += 1) {
            const disturb: Replay["disturb"] = (...[, { random, restart, pause }]) => {
                const index = random.nextInteger(nodeCount);
                const draw = random.next();
                if (draw < 0.02) {
                    restart(index);
                }
                else if (draw < 0.03) {
                    pause(index, 500 + random.nextInteger(6_000));
                }
            };
            const getRate: Replay["getRate"] = at => at % 8_000 < 1_000 ? 120 : 20;
            const isFailing: Replay["isFailing"] = at => at % 17_000 > 6_000;
            expect([seed, replay({ getRate, isFailing, disturb, seed }).broken]).toEqual([seed, []]);
        }
    });
});
