import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ManualClock } from "../../src/common/index.js";
import { AttemptEvidence } from "../../src/rollouts/attemptEvidence.js";
import type { AttemptWatch, WatchedAttempt } from "../../src/rollouts/attemptWatch.js";
import { evaluateRollout, type Regression } from "../../src/rollouts/evaluateRollout.js";
import { countAbove, getTimeClass, splitByLoad } from "../../src/rollouts/timeCounts.js";

interface Fixture {
    readonly clock: ManualClock;
    readonly evidence: AttemptEvidence;
    /** Starts an attempt at an upstream, whose version is a part of its name. */
    readonly start: (upstream: string, options?: Partial<WatchedAttempt>) => AttemptWatch;
    readonly getCandidate: () => { readonly times: number; readonly waits: number; };
}

function createFixture(crashed: ReadonlySet<string> = new Set()): Fixture {
    const clock = new ManualClock();
    const evidence = new AttemptEvidence({
        clock,
        isRunning: async upstream => !crashed.has(upstream),
        onFailure: () => undefined,
    });
    const start = (upstream: string, options: Partial<WatchedAttempt> = {}): AttemptWatch =>
        evidence.start({
            upstream,
            segment: "route",
            isCandidate: upstream.startsWith("new"),
            objectiveMilliseconds: 1_000,
            pauseObjectiveMilliseconds: 600,
            isWarmingUp: false,
            load: 0.2,
            ...options,
        });
    const getCandidate = (): { readonly times: number; readonly waits: number; } => {
        const { times = [], waits = [] } = evidence.getCounts().get("route")?.candidate ?? {};
        return { times: countAbove(times, -1), waits: countAbove(waits, -1) };
    };
    return { clock, evidence, start, getCandidate };
}

describe("AttemptEvidence", () => {
    // Guards against learning of slow answers only when their streams have ended.
    it("knows the time of an answer as soon as it begins", () => {
        const { clock, start, getCandidate } = createFixture();
        const watch = start("new-1");
        clock.advance(800);
        watch.markHead();
        expect(getCandidate()).toEqual({ times: 1, waits: 0 });
    });

    // Guards against learning nothing of answers that do not begin while all callers still wait.
    it("counts attempts that wait at an upstream that has answered others since", () => {
        const { clock, start, getCandidate } = createFixture();
        start("new-1");
        const other = start("new-1");
        clock.advance(800);
        expect(getCandidate()).toEqual({ times: 0, waits: 0 });
        other.markHead();
        expect(getCandidate()).toEqual({ times: 1, waits: 1 });
    });

    // Guards against knowing only the pauses of the quick streams, since a slow one gives its first parts too late.
    it("counts a stream whose usual pause is not known yet by the least that it can be", () => {
        const { clock, evidence, start } = createFixture();
        const streams = [start("new-1"), start("new-1")];
        for (const stream of streams) {
            stream.markHead();
        }
        const getPauses = (): readonly number[] => {
            const { pauses = [], pauseWaits = [] } = evidence.getCounts().get("route")?.candidate ?? {};
            const [, loadedWaits] = splitByLoad(pauseWaits);
            return [countAbove(pauses, -1), countAbove(loadedWaits, getTimeClass(90, 15))];
        };
        clock.advance(3_200);
        // Nothing is known of the upstream since its last answer: it may be silent as a whole.
        expect(getPauses()).toEqual([0, 0]);
        start("new-1").markHead();
        expect(getPauses()).toEqual([0, 2]);
        streams[0].addPause(200);
        streams[1].end("unknown");
        expect(getPauses()).toEqual([1, 1]);
    });

    it("counts an attempt that is given up once, by the time that it waited", async () => {
        const { clock, start, getCandidate } = createFixture();
        const watch = start("new-1");
        clock.advance(800);
        watch.end("given-up");
        await nextTurn();
        clock.advance(100);
        expect(getCandidate()).toEqual({ times: 0, waits: 1 });
    });

    it("counts a time once when an answer that began is broken off", async () => {
        const { clock, start, getCandidate } = createFixture();
        const watch = start("new-1");
        clock.advance(800);
        watch.markHead();
        watch.end("given-up");
        await nextTurn();
        expect(getCandidate()).toEqual({ times: 1, waits: 0 });
    });

    it("ignores the times of upstreams that warm up or have no room", () => {
        const { clock, start, getCandidate } = createFixture();
        const watches = [start("new-1", { isWarmingUp: true }), start("new-2", { load: 1.1 })];
        clock.advance(800);
        for (const watch of watches) {
            watch.markHead();
        }
        expect(getCandidate()).toEqual({ times: 0, waits: 0 });
    });

    // Guards against reverting a good version that a burst meets when it serves everything.
    it("ignores the times of upstreams that are busier than those of the old version were", () => {
        const { clock, start, getCandidate } = createFixture();
        for (let index = 0; index < 40; index += 1) {
            start("old-1", { load: index / 100 }).markHead();
        }
        const watches = [0.05, 0.3, 0.5, 0.9].map(load => start("new-1", { load }));
        clock.advance(800);
        for (const watch of watches) {
            watch.markHead();
        }
        expect(getCandidate()).toEqual({ times: 2, waits: 0 });
    });

    describe("of a new version of which three of six upstreams do not answer", () => {
        const silent = new Set(["new-1", "new-2", "new-3"]);

        async function run({ clock, evidence, start }: Fixture): Promise<Regression | undefined> {
            for (let round = 0; round < 8; round += 1) {
                const watches = Array.from(
                    { length: 6 },
                    (...[, index]) => [start("old-1"), start(`new-${index + 1}`)],
                );
                clock.advance(50);
                const [answered, left] = [false, true].map(isSilent => {
                    return watches.flat().filter(({ attempt }) => silent.has(attempt.upstream) === isSilent);
                });
                for (const watch of answered) {
                    watch.markHead();
                }
                clock.advance(600);
                for (const watch of left) {
                    watch.end("given-up");
                }
                await nextTurn();
            }
            start("new-1");
            clock.advance(500);
            return evaluateRollout(evidence.getCounts());
        }

        // Guards against reverting a good version of which three upstreams crash.
        it("finds nothing if they have crashed", async () => {
            expect(await run(createFixture(silent))).toEqual(undefined);
        });

        it("finds the version slow if they run", async () => {
            expect((await run(createFixture()))?.reason).toEqual("slow");
        });
    });
});
