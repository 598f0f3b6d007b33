import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { UpstreamPicker } from "../../../src/decisions/index.js";
import { createUpstream, createUpstreams } from "../../fixtures/upstreams.js";
import { replaySameReports } from "./sameReports.js";
import { replayUnevenRunners, type UnevenRunnersOptions } from "./unevenRunners.js";

const paces = [0.7, 0.7, 1.7];
const uneven = { paces, slowedShare: 0.15, load: 0.45 };
const moving = { paces, slowedShare: 0.15, load: 0.5, swing: 0.55 };
const even = { paces: [1], load: 0.5 };
const fleet8 = { nodes: 8, runners: 7, seconds: 400 };
const fleet74 = { nodes: 74, runners: 63, seconds: 60 };
const fleet350 = { nodes: 350, runners: 300, seconds: 15 };

interface Times {
    readonly p95: number;
    readonly p99: number;
}

/** Replays some seeds and returns the means of the percentiles of the short prompts' times to the first token. */
function getShortTimes(options: Omit<UnevenRunnersOptions, "seed">, seeds: readonly number[]): Times {
    let p95 = 0;
    let p99 = 0;
    for (const seed of seeds) {
        const { shortHeads } = replayUnevenRunners({ ...options, seed });
        p95 += shortHeads[Math.floor(0.95 * shortHeads.length)] / seeds.length;
        p99 += shortHeads[Math.floor(0.99 * shortHeads.length)] / seeds.length;
    }
    return { p95: Math.round(p95), p99: Math.round(p99) };
}

function createPicker() {
    const clock = new ManualClock(10_000);
    const picker = new UpstreamPicker({
        clock,
        self: "node-1",
        failureDomain: "north",
        random: new RandomSource(1),
        onEject: () => undefined,
    });
    return { clock, picker };
}

function createPrompt(key: string) {
    return { model: "large", tokens: 1_000, bytes: 1_000, sharedTokens: 0, sharedKey: key };
}

describe("UpstreamPicker under uneven load", () => {
    // Guards against prompts that queue for seconds at one runner while others idle: runners differ in pace, a seventh of them is slowed
    // down at any moment, and reports are late. The bounds are what the picker that only counts requests gives in the same replay.
    for (
        const [name, options, baseline] of [
            ["uneven runners, 8 nodes", { ...fleet8, ...uneven }, { p95: 724, p99: 1_686 }],
            ["uneven runners, 74 nodes", { ...fleet74, ...uneven }, { p95: 1_261, p99: 2_836 }],
            ["uneven runners, 350 nodes", { ...fleet350, ...uneven }, { p95: 1_366, p99: 3_028 }],
            ["demand that moves between failure domains", { ...fleet74, ...moving }, { p95: 1_906, p99: 3_775 }],
        ] as const
    ) {
        it(`gives short prompts their first token sooner than a count of requests does: ${name}`, t => {
            const times = getShortTimes(options, options.nodes === 350 ? [1] : [1, 2, 3]);
            t.diagnostic(
                `p95 ${times.p95} ms, p99 ${times.p99} ms; by requests ${baseline.p95} and ${baseline.p99} ms`,
            );
            expect([times.p95 < baseline.p95, times.p99 < baseline.p99]).toEqual([true, true]);
        });
    }

    // Guards against a loss where runners are all alike.
    for (
        const [options, baseline] of [
            [{ ...fleet8, ...even }, { p95: 695, p99: 1_707 }],
            [{ ...fleet74, ...even }, { p95: 933, p99: 2_068 }],
            [{ ...fleet350, ...even }, { p95: 1_000, p99: 2_126 }],
        ] as const
    ) {
        it(`gives short prompts their first token no later where runners are even: ${options.nodes} nodes`, t => {
            const times = getShortTimes(options, options.nodes === 350 ? [1] : [1, 2, 3]);
            t.diagnostic(
                `p95 ${times.p95} ms, p99 ${times.p99} ms; by requests ${baseline.p95} and ${baseline.p99} ms`,
            );
            expect([times.p95 <= baseline.p95, times.p99 <= baseline.p99]).toEqual([true, true]);
        });
    }

    // Guards against runners that are busier than others of the same pace all the time, since more nodes have them in their subset.
    it("keeps even runners equally busy in steady state", t => {
        const { busiest } = replayUnevenRunners({ ...fleet74, ...even, seconds: 400, seed: 1 });
        t.diagnostic(`busiest against mean ${busiest.toFixed(2)}`);
        expect(busiest <= 1.15).toEqual(true);
    });

    // Guards against nodes that all send their next prompts to the runners that looked idle in a report which all of them have read.
    for (const [nodes, runners, trials] of [[8, 7, 400], [74, 63, 60], [350, 300, 10]] as const) {
        it(`spreads ${nodes} nodes that have read the same reports`, t => {
            const busiest = replaySameReports({ nodes, runners, trials, seed: 1 });
            t.diagnostic(`busiest against mean ${busiest.toFixed(2)} one second after the reports`);
            expect(busiest <= 1.3).toEqual(true);
        });
    }

    // Guards against empty runners that stay unused since no node has heard of them.
    it("uses empty runners that join within a second", t => {
        const { joinedWithin } = replayUnevenRunners({ ...fleet74, ...uneven, joining: 12, seed: 1 });
        t.diagnostic(`each used within ${Math.round(joinedWithin)} ms`);
        expect(joinedWithin <= 1_000).toEqual(true);
    });

    // Guards against a runner that turned slow and is never tried again, so that nobody notices when it recovers.
    it("keeps a slow runner in some use", t => {
        const { firstRunner } = replayUnevenRunners({ ...fleet74, ...even, changedPace: 10, seed: 1 });
        t.diagnostic(`${firstRunner[0].toFixed(1)} prompts a second before, ${firstRunner[1].toFixed(1)} when slow`);
        expect(firstRunner[1] >= 1 / 3).toEqual(true);
        expect(firstRunner[1] < firstRunner[0] / 2).toEqual(true);
    });

    describe("pick", () => {
        // Guards against prompts that are sent to a runner whose machine is busy with other work just now, and against avoiding that
        // runner when the state has passed.
        it("avoids a runner that is slowed down, until the report is old", () => {
            const { clock, picker } = createPicker();
            const upstreams = createUpstreams(2, { slots: 24 });
            for (const [index, upstream] of upstreams.entries()) {
                picker.addLoadReport(upstream, { requests: 4, waiting: 0, slots: 24, slowdown: index === 0 ? 2.5 : 1 });
            }
            function countPicks(): number {
                let count = 0;
                for (let index = 0; index < 200; index += 1) {
                    const prompt = createPrompt(`k${index}`);
                    const pick = picker.pick({
                        pool: "app",
                        candidates: upstreams,
                        excluded: new Set(),
                        prompt,
                        mayProbe: true,
                    });
                    count += pick?.upstream.id === upstreams[0].id ? 1 : 0;
                }
                return count;
            }
            expect(countPicks()).toEqual(0);
            clock.advance(500);
            const later = countPicks();
            expect(later > 60 && later < 140).toEqual(true);
        });

        // Guards against calls of a service with few instances that wait at one whose machine is busy with other work.
        it("weighs the load of plain instances by their slowdown", () => {
            const { clock, picker } = createPicker();
            const upstreams = createUpstreams(3, { slots: 6 });
            const options = { pool: "app", candidates: upstreams, excluded: new Set<string>(), prompt: undefined };
            for (const [index, upstream] of upstreams.entries()) {
                const slowdown = index === 0 ? 2.5 : 1;
                picker.addLoadReport(upstream, { requests: index === 0 ? 1 : 3, waiting: 0, slots: 6, slowdown });
            }
            expect(picker.pick(options)?.upstream.id !== "u1").toEqual(true);
            clock.advance(500);
            expect(picker.pick(options)?.upstream.id).toEqual("u1");
        });

        // Guards against nodes that spend their processor time on choosing: a choice by waiting work is compared with one by requests,
        // which is made where reports don't tell what waits.
        it("costs no more than 1.5 times a choice by requests", t => {
            const candidates = Array.from(
                { length: 62 },
                (...[, index]) =>
                    createUpstream(`u${index}`, { slots: 24, failureDomain: ["north", "south", "east"][index % 3] }),
            );
            const measured = [undefined, 1].map(waiting => {
                const { clock, picker } = createPicker();
                return { clock, picker, waiting, best: Number.POSITIVE_INFINITY };
            });
            for (let round = 0; round < 300; round += 1) {
                for (const entry of measured) {
                    const { clock, picker, waiting } = entry;
                    clock.advance(1_000);
                    for (const upstream of candidates) {
                        picker.addLoadReport(upstream, { requests: 4, waiting, slots: 24, slowdown: 1.2 });
                    }
                    const startedAt = process.hrtime.bigint();
                    for (let index = 0; index < 50; index += 1) {
                        const prompt = createPrompt(`k${index}`);
                        picker.pick({ pool: "app", candidates, excluded: new Set(), prompt, mayProbe: true });
                    }
                    entry.best = Math.min(entry.best, Number(process.hrtime.bigint() - startedAt) / 50);
                }
            }
            const [byRequests, byWaiting] = measured.map(({ best }) => best / 1_000);
            t.diagnostic(`${byWaiting.toFixed(2)} µs by waiting work, ${byRequests.toFixed(2)} µs by requests`);
            expect(byWaiting <= 1.5 * byRequests).toEqual(true);
        });
    });
});
