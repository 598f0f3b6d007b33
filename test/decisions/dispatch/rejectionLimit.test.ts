import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { RejectionLimit } from "../../../src/decisions/index.js";

const slots = 6;
const waitingPlaces = 1;
const runMilliseconds = 70;
const answerMilliseconds = 2;
const stepMilliseconds = 5;
const statedAt = 1_000;
/** Time after the first statement from which rejections count. */
const settlingMilliseconds = 3_000;
const totalMilliseconds = 14_000;
/** Share below which operators are alerted. */
const minServed = 0.9;

/** Returns how many of a service's upstreams may fail in one time in which they state what they bear. */
function maxFailed(upstreams: number): number {
    return 2 + upstreams / 10;
}

interface Replay {
    readonly nodes: number;
    readonly upstreams: number;
    readonly rejectionsPerSecond: number;
    /** Requests a second as a multiple of what all upstreams can serve. */
    readonly load: number;
    /** The load for the first half of the time, if it differs. */
    readonly firstLoad?: number;
    readonly isLimited?: boolean;
}

interface ReplayResult {
    /** Upstreams that had to reject more in some second after the settling time than they bear. */
    readonly failed: number;
    /** Share of the requests that were served, after the settling time. */
    readonly served: number;
}

/** Replays a fleet before upstreams that state how many rejections they bear, each node with its own knowledge. */
function replay(
    { nodes, upstreams, rejectionsPerSecond, load, firstLoad = load, isLimited = true }: Replay,
): ReplayResult {
    const clock = new ManualClock();
    const random = new RandomSource(7);
    const limits = Array.from(
        { length: nodes },
        () => new RejectionLimit({ clock, random, getNodeCount: () => nodes }),
    );
    const ids = Array.from({ length: upstreams }, (...[, index]) => `upstream-${index}`);
    const ends = new Map<string, number[]>(ids.map(id => [id, []]));
    const rejectedAt = new Map<string, number[]>(ids.map(id => [id, []]));
    const reports: { readonly at: number; readonly deliver: () => void; }[] = [];
    const perStep = upstreams * slots / runMilliseconds * stepMilliseconds;
    let [sent, served, owed] = [0, 0, 0];
    while (clock.monotonic() < totalMilliseconds) {
        const now = clock.monotonic();
        for (const report of reports.splice(0)) {
            if (report.at <= now) {
                report.deliver();
            }
            else {
                reports.push(report);
            }
        }
        for (const [id, times] of ends) {
            ends.set(id, times.filter(at => at > now));
        }
        for (owed += perStep * (now < totalMilliseconds / 2 ? firstLoad : load); owed >= 1; owed -= 1) {
            const limit = limits[random.nextInteger(nodes)];
            const admitted = ids.filter(id =>
                !isLimited || limit.isAdmitted({ id, pool: "pool", failureDomain: "north" })
            );
            const isCounted = now >= statedAt + settlingMilliseconds;
            sent += isCounted ? 1 : 0;
            if (admitted.length === 0) {
                continue;
            }
            const id = admitted[random.nextInteger(admitted.length)];
            limit.add({ id, pool: "pool", failureDomain: "north" });
            const running = ends.get(id)!;
            const isRejection = running.length >= slots + waitingPlaces;
            if (isRejection && isCounted) {
                rejectedAt.get(id)!.push(now);
            }
            if (!isRejection) {
                running.push(now + runMilliseconds);
                served += isCounted ? 1 : 0;
            }
            const stated = now >= statedAt ? rejectionsPerSecond : Number.POSITIVE_INFINITY;
            reports.push({
                at: now + (isRejection ? answerMilliseconds : runMilliseconds),
                deliver: () =>
                    limit.observe({
                        upstream: id,
                        pool: "pool",
                        rejectionsPerSecond: stated,
                        isRejection,
                        load: { requests: ends.get(id)!.length, slots },
                    }),
            });
        }
        clock.advance(stepMilliseconds);
    }
    const failed = [...rejectedAt.values()].filter(times => getMostInSecond(times) > rejectionsPerSecond).length;
    return { failed, served: served / sent };
}

function getMostInSecond(times: readonly number[]): number {
    return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + 1_000).length));
}

describe("upstreams that state how many rejections in a second they bear", () => {
    // Guards against nodes that each send what they like to full upstreams, which then fall over one after the other.
    for (const nodes of [1, 8, 59, 350]) {
        it(`are not made to reject more by ${nodes} nodes under a load that they cannot serve`, () => {
            const options = {
                nodes,
                upstreams: Math.max(4, Math.floor(nodes / 12)),
                rejectionsPerSecond: 8,
                load: 1.6,
            };
            expect(replay({ ...options, isLimited: false }).failed).toEqual(options.upstreams);
            expect(replay(options).failed).toEqual(0);
        });
    }

    // Guards against upstreams that stand idle because nodes take old reports for a lack of room.
    for (const nodes of [8, 59]) {
        it(`serve nearly all requests of ${nodes} nodes under an ordinary load`, () => {
            expect(replay({ nodes, upstreams: 5, rejectionsPerSecond: 8, load: 0.3 }).served).toBeGreaterThan(
                minServed,
            );
        });
    }

    // Guards against nodes that all trust the same reports of little load when the load jumps.
    for (const nodes of [1, 8, 59]) {
        it(`are not made to reject more by ${nodes} nodes whose load jumps`, () => {
            const options = { nodes, upstreams: 5, rejectionsPerSecond: 8, firstLoad: 0.3, load: 1.6 };
            expect(replay({ ...options, isLimited: false }).failed).toEqual(options.upstreams);
            expect(replay(options).failed).toBeLessThanOrEqual(maxFailed(options.upstreams));
        });
    }

    // Guards against an upstream that gets more and more worn, and is still judged by what it bore at first.
    it("are limited by their newest statement", () => {
        const clock = new ManualClock(10_000);
        const limit = new RejectionLimit({ clock, random: new RandomSource(1), getNodeCount: () => 1 });
        const upstream = { id: "a", pool: "pool", failureDomain: "north" };
        const statement = { upstream: "a", pool: "pool", isRejection: true, load: undefined };
        limit.observe({ ...statement, rejectionsPerSecond: 100 });
        limit.observe({ ...statement, rejectionsPerSecond: 1 });
        clock.advance(100);
        limit.add(upstream);
        clock.advance(1_000);
        expect(limit.isAdmitted(upstream)).toEqual(false);
        clock.advance(1_100);
        expect(limit.isAdmitted(upstream)).toEqual(true);
    });

    it("are limited until an answer states nothing", () => {
        const clock = new ManualClock(10_000);
        const limit = new RejectionLimit({ clock, random: new RandomSource(1), getNodeCount: () => 8 });
        const upstream = { id: "a", pool: "pool", failureDomain: "north" };
        const statement = { upstream: "a", pool: "pool", isRejection: false, load: undefined };
        limit.observe({ ...statement, rejectionsPerSecond: 4, isRejection: true });
        expect([limit.isLimited("a"), limit.isAdmitted(upstream)]).toEqual([true, false]);
        limit.observe({ ...statement, rejectionsPerSecond: undefined });
        expect(limit.isLimited("a")).toEqual(true);
        limit.observe({ ...statement, rejectionsPerSecond: Number.POSITIVE_INFINITY });
        expect([limit.isLimited("a"), limit.isAdmitted(upstream)]).toEqual([false, true]);
    });
});
