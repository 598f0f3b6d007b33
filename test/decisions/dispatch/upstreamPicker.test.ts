import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import {
    type LimitedUpstream,
    type PromptDescription,
    type RateShares,
    UpstreamPicker,
} from "../../../src/decisions/index.js";
import type { RegisteredUpstream } from "../../../src/fleet/index.js";
import { createUpstream, createUpstreams } from "../../fixtures/upstreams.js";
import { replayManyNodes } from "./manyNodes.js";

function createPicker(options: { readonly rateShares?: RateShares; } = {}) {
    const clock = new ManualClock(10_000);
    const ejected: string[] = [];
    const picker = new UpstreamPicker({
        clock,
        self: "node-1",
        failureDomain: "north",
        random: new RandomSource(1),
        onEject: id => ejected.push(id),
        ...options,
    });
    return { clock, picker, ejected };
}

function createPrompt(options: Partial<PromptDescription> = {}): PromptDescription {
    return { model: "large", tokens: 1_000, bytes: 1_000, sharedTokens: 0, sharedKey: "large subject", ...options };
}

interface Job {
    readonly at: number;
    readonly tokens: number;
}

/** Creates prompts as they arrive at peak load: mostly short ones, and some whose prefill takes a hundred times as long. */
function createJobs(seed: number): Job[] {
    const random = new RandomSource(seed);
    const jobs: Job[] = [];
    let at = 0;
    for (let index = 0; index < 6_000; index += 1) {
        at += random.nextExponential(11);
        jobs.push({ at, tokens: Math.min(54_000, 700 * Math.exp(1.5 * random.nextNormal())) });
    }
    return jobs;
}

/** Simulates runners that prefill prompts one after another, at 40 tokens per millisecond, and returns the waits of the short prompts. */
function replay(jobs: readonly Job[], runners: readonly RegisteredUpstream[], pick: (job: Job) => string): number[] {
    const freeAt = new Map(runners.map(runner => [runner.id, 0]));
    const waits: number[] = [];
    for (const job of jobs) {
        const runner = pick(job);
        const startsAt = Math.max(job.at, freeAt.get(runner) ?? 0);
        freeAt.set(runner, startsAt + job.tokens / 40);
        if (job.tokens < 2_000) {
            waits.push(startsAt - job.at);
        }
    }
    return waits.sort((first, second) => first - second);
}

/** Objective for the 95th percentile of the time to first token. */
const objectiveMilliseconds = 900;

function getPercentile95(waits: readonly number[]): number {
    const sorted = [...waits].sort((first, second) => first - second);
    return sorted[Math.floor(sorted.length * 0.95)];
}

describe("UpstreamPicker", () => {
    describe("pick", () => {
        // Guards against an upstream that gets nothing since the nodes that hold shares of its rate choose among others.
        it("chooses a runner whose share of its stated rate is due, whatever its subset and load", () => {
            const runners = createUpstreams(78);
            for (const limited of runners) {
                const rateShares = {
                    getLimited: () => new Set([limited.id]),
                    isDue: ({ id }: LimitedUpstream) => id === limited.id,
                };
                const { picker } = createPicker({ rateShares });
                picker.addPendingPrefill(limited.id, 5_000);
                const pick = picker.pick({
                    candidates: runners,
                    excluded: new Set(),
                    pool: "app",
                    prompt: createPrompt(),
                });
                expect(pick?.upstream.id).toEqual(limited.id);
            }
        });

        it("prefers the own failure domain until it is full", () => {
            const { picker } = createPicker();
            const near = createUpstream("near");
            const far = createUpstream("far", { failureDomain: "south" });
            const options = { pool: "app", candidates: [near, far], excluded: new Set<string>(), prompt: undefined };
            expect(picker.pick(options)?.upstream.id).toEqual("near");
            for (let request = 0; request < 8; request += 1) {
                picker.start("near");
            }
            expect(picker.pick(options)?.upstream.id).toEqual("far");
        });

        it("sends a prompt with a long shared part to the same runner each time", () => {
            const { picker } = createPicker();
            const candidates = createUpstreams(3);
            const prompt = createPrompt({ tokens: 9_000, sharedTokens: 8_000 });
            const picks = Array.from(
                { length: 10 },
                () => picker.pick({ pool: "app", candidates, excluded: new Set(), prompt }),
            );
            expect(new Set(picks.map(pick => pick?.upstream.id)).size).toEqual(1);
        });

        // Guards against treating runners without a recent load report as idle. About thirty nodes share a dozen runners of twelve slots,
        // nine tenths of them in use, and each node gets an answer from a given runner every few seconds only. Nodes then send most
        // requests to overloaded runners, and callers get their first token late while other runners have free slots.
        it("does not treat runners without a recent report as idle", () => {
            for (const seed of [1, 2, 3]) {
                const waits = replayManyNodes({ nodes: 33, runners: 12, slots: 12, load: 0.9, requests: 6_000, seed });
                expect(getPercentile95(waits) < objectiveMilliseconds).toEqual(true);
            }
        });

        // Guards against a single absurd report by which averages are no numbers, so that nothing is ever chosen again.
        it("still chooses after reports that are not finite", () => {
            const { picker } = createPicker();
            const candidates = createUpstreams(3);
            for (const figure of [Number.POSITIVE_INFINITY, Number.NaN]) {
                picker.addLoadReport(candidates[0], { requests: figure, waiting: 1, slots: 8 });
                picker.addLoadReport(candidates[0], { requests: 1, waiting: figure, slots: 8 });
                picker.addLoadReport(candidates[0], { requests: 1, waiting: 1, slots: 8, slowdown: figure });
                picker.addLoadReport(candidates[0], { requests: 0, waiting: 0, slots: 0 });
            }
            for (const prompt of [createPrompt(), undefined]) {
                const pick = picker.pick({ pool: "app", candidates, excluded: new Set(), prompt });
                expect(Number.isFinite(pick?.load)).toEqual(true);
            }
        });

        /** Returns the reasons of picks among runners of which one was never tried; each is answered at once, with a report or without. */
        function pickReasons(options: {
            readonly mayProbe?: boolean;
            readonly inFlight: number;
            readonly isAnswered?: boolean;
        }): string[] {
            const { clock, picker } = createPicker();
            const candidates = createUpstreams(3, { slots: 8 });
            const [silent, ...reporting] = candidates;
            const prompt = createPrompt({ tokens: 10 });
            const first = picker.pick({ pool: "app", candidates, excluded: new Set(), prompt: createPrompt() })!;
            picker.addHeadTime("large", 200, first);
            for (let request = 0; request < options.inFlight; request += 1) {
                picker.start(silent.id);
            }
            const reasons: string[] = [];
            for (let request = 0; request < 500; request += 1) {
                clock.advance(4);
                for (const upstream of reporting) {
                    picker.addLoadReport(upstream, { requests: 1, waiting: 0, slots: 8 });
                }
                const { mayProbe } = options;
                const pick = picker.pick({ pool: "app", candidates, excluded: new Set(), prompt, mayProbe })!;
                reasons.push(pick.reason);
                if (pick.reason === "probe" && options.isAnswered === true) {
                    picker.start(pick.upstream.id);
                    picker.markSeen(pick.upstream.id);
                    picker.finish(pick.upstream, "ok", candidates);
                }
            }
            return reasons;
        }

        it("probes a runner that it has never tried", () => {
            expect(pickReasons({ mayProbe: true, inFlight: 0 }).includes("probe")).toEqual(true);
        });

        // Guards against retries, resumed streams and estimates that go by the load and the time of a probe.
        it("probes only if it is told that it may", () => {
            expect(pickReasons({ inFlight: 0 }).includes("probe")).toEqual(false);
        });

        // Guards against a runner whose answers state no load, which got a tenth of the short prompts of each node for good.
        it("probes a runner without load reports once, not again after it has answered", () => {
            const reasons = pickReasons({ mayProbe: true, inFlight: 0, isAnswered: true });
            expect(reasons.filter(reason => reason === "probe").length).toEqual(1);
        });

        it("does not probe a runner at which a request of this node is in flight", () => {
            expect(pickReasons({ mayProbe: true, inFlight: 1 }).includes("probe")).toEqual(false);
        });

        // Guards against a wait computed at one slowdown and divided by that of another moment, from which the prefill rate learns.
        it("learns the prefill rate by the slowness at the choice", () => {
            const learn = (slowdownAfter: number): number => {
                const { picker } = createPicker();
                const [upstream] = createUpstreams(1, { slots: 8 });
                const options = {
                    pool: "app",
                    candidates: [upstream],
                    excluded: new Set<string>(),
                    prompt: createPrompt(),
                };
                picker.addLoadReport(upstream, { requests: 0, waiting: 0, slots: 8, slowdown: 2 });
                const pick = picker.pick(options)!;
                expect(pick.slowness).toEqual(2);
                picker.addLoadReport(upstream, { requests: 0, waiting: 0, slots: 8, slowdown: slowdownAfter });
                picker.addHeadTime("large", 900, pick);
                picker.addLoadReport(upstream, { requests: 0, waiting: 0, slots: 8, slowdown: 1 });
                return picker.pick(options)!.prefillMilliseconds;
            };
            expect(learn(8)).toEqual(learn(2));
        });

        it("picks an ejected upstream when no other is left", () => {
            const { picker } = createPicker();
            const only = createUpstream("only");
            for (let failure = 0; failure < 8; failure += 1) {
                picker.start("only");
                picker.finish(only, "silent", [only, createUpstream("second"), createUpstream("third")]);
            }
            const pick = picker.pick({ pool: "app", candidates: [only], excluded: new Set(), prompt: undefined });
            expect(pick?.reason).toEqual("ejected");
        });

        it("picks from a few runners of its own domain in a large pool, and those that hold the prompt", () => {
            const { picker } = createPicker();
            const near = createUpstreams(40, { slots: 12 });
            const far = near.map(({ id }) => createUpstream(`far-${id}`, { slots: 12, failureDomain: "south" }));
            const picked = new Set<string | undefined>();
            for (let request = 0; request < 400; request += 1) {
                const prompt = createPrompt({ tokens: 300, sharedTokens: 0, sharedKey: `large ${request % 3}` });
                const pick = picker.pick({ pool: "app", candidates: [...near, ...far], excluded: new Set(), prompt });
                picked.add(pick?.upstream.id);
                picker.start(pick!.upstream.id);
            }
            expect(picked.size <= 12 + 6).toEqual(true);
        });

        // Guards against queueing short prompts behind long ones. At peak load, a few prompts of 50,000 tokens arrive among many of a few
        // hundred. A short prompt that is queued behind a long one waits a second or more for its first token although most runners
        // are nearly idle.
        it("does not queue short prompts behind long ones", () => {
            const jobs = createJobs(7);
            const runners = createUpstreams(13, { slots: 48 });
            const random = new RandomSource(8);
            const randomWaits = replay(jobs, runners, () => runners[random.nextInteger(runners.length)].id);
            const { clock, picker } = createPicker();
            const prefills: { readonly id: string; readonly until: number; readonly milliseconds: number; }[] = [];
            const pickerWaits = replay(jobs, runners, job => {
                clock.advance(job.at + 10_000 - clock.monotonic());
                for (
                    const pending of prefills.splice(0).filter(entry =>
                        entry.until > clock.monotonic() || !finish(entry)
                    )
                ) {
                    prefills.push(pending);
                }
                const prompt = createPrompt({ tokens: job.tokens, sharedKey: `large ${job.at}` });
                const pick = picker.pick({ pool: "app", candidates: runners, excluded: new Set(), prompt });
                const { upstream, prefillMilliseconds } = pick!;
                picker.start(upstream.id);
                picker.addPendingPrefill(upstream.id, prefillMilliseconds);
                const until = clock.monotonic() + job.tokens / 40;
                prefills.push({ id: upstream.id, until, milliseconds: prefillMilliseconds });
                return upstream.id;
            });
            function finish(entry: typeof prefills[number]): boolean {
                picker.addPendingPrefill(entry.id, -entry.milliseconds);
                picker.finish(createUpstream(entry.id), "cancelled", []);
                return true;
            }
            expect(getPercentile95(pickerWaits) < 0.25 * getPercentile95(randomWaits)).toEqual(true);
        });

        // Guards against nodes that all send to the same upstream, however full it is, since nothing is to be prefilled.
        it("looks at the loads for a stream without a prompt", () => {
            const { picker } = createPicker();
            const candidates = createUpstreams(4, { slots: 8 });
            const prompt = createPrompt({ tokens: 0 });
            for (const [index, upstream] of candidates.entries()) {
                picker.addLoadReport(upstream, {
                    requests: index === 0 ? 12 : 1,
                    waiting: index === 0 ? 4 : 0,
                    slots: 8,
                });
            }
            const counts = new Map(candidates.map(({ id }) => [id, 0]));
            for (let index = 0; index < 9; index += 1) {
                const { upstream, load } = picker.pick({ pool: "pool", candidates, excluded: new Set(), prompt })!;
                expect(load < 1).toEqual(true);
                picker.start(upstream.id);
                counts.set(upstream.id, counts.get(upstream.id)! + 1);
            }
            expect([...counts.values()]).toEqual([0, 3, 3, 3]);
        });
    });

    describe("finish", () => {
        // Guards against late ends of calls that are held against the next upstream under the same identifier.
        it("ignores what ends after the upstream was removed", () => {
            const { picker, ejected } = createPicker();
            const pool = createUpstreams(4);
            picker.start("u1");
            picker.remove("u1");
            picker.addPendingPrefill("u1", -100);
            picker.finish(pool[0], "silent", pool);
            picker.finish(pool[0], "silent", pool);
            expect(ejected).toEqual([]);
        });

        it("ejects an upstream after two unresponsive calls in a row, unless other data was received from it", () => {
            const { picker, ejected } = createPicker();
            const pool = createUpstreams(4);
            for (const upstream of pool.slice(0, 2)) {
                for (let call = 0; call < 2; call += 1) {
                    picker.start(upstream.id);
                    if (upstream.id === "u2") {
                        picker.markSeen("u2");
                    }
                    picker.finish(upstream, "silent", pool);
                }
            }
            expect(ejected).toEqual(["u1"]);
        });

        // Guards against ejections for a failure rate that the whole pool has. If all instances of a service fail one call in seven,
        // ejecting some of them only reduces the capacity of the service.
        it("does not eject upstreams for failures that the whole pool has", () => {
            const { picker, ejected } = createPicker();
            const pool = createUpstreams(4);
            for (let call = 0; call < 400; call += 1) {
                const upstream = pool[call % 4];
                picker.start(upstream.id);
                picker.finish(upstream, call % 7 < 1 ? "failed" : "ok", pool);
            }
            expect(ejected).toEqual([]);
        });

        it("ejects upstreams that fail far more than the others, and never more than a third of the pool", () => {
            const { picker, ejected } = createPicker();
            const pool = createUpstreams(6);
            for (let call = 0; call < 60; call += 1) {
                for (const upstream of pool.slice(0, 4)) {
                    picker.start(upstream.id);
                    picker.finish(upstream, "silent", pool);
                }
            }
            expect(new Set(ejected).size).toEqual(2);
        });
    });
});
