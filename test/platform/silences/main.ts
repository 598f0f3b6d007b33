/**
 * Runs the load of silent runners by hand: `node dist/test/platform/silences/main.js --seed 1 --seconds 60 --streams 60`. With
 * `--prompts` streams have prompts, with `--cascade` runners have several models; `--load '{"tags":10}'` changes fields of
 * `SilentLoad`. `--lines N` prints what the nodes wrote of the first N requests that were lost or, after them, that got a failure.
 */
import { parseArgs } from "node:util";
import type { EventLine } from "../../../src/events/index.js";
import { cascadeLoad, findLost, runSilentFleet, type SilentLoad } from "./silentFleet.js";

/** Lines of several nodes within this time are one burst. */
const burstMilliseconds = 15;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seconds: { type: "string", default: "60" },
        streams: { type: "string", default: "60" },
        prefix: { type: "string", default: "127.72.110" },
        prompts: { type: "boolean", default: false },
        cascade: { type: "boolean", default: false },
        load: { type: "string", default: "{}" },
        lines: { type: "string", default: "0" },
    },
});
const result = await runSilentFleet({
    seed: Number(values.seed),
    prefix: values.prefix,
    milliseconds: Number(values.seconds) * 1_000,
    streams: Number(values.streams),
    hasPrompts: values.prompts,
    load: { ...(values.cascade ? cascadeLoad : {}), ...JSON.parse(values.load) as Partial<SilentLoad> },
});
const lost = findLost(result);
const refused = result.answers.filter(({ status, isWhole }) => isWhole && status !== 200);
const givenUp = result.events.filter(({ name, reason }) =>
    name === "attempt-ended" && /^(no data for|no answer in time)/.test(String(reason))
);
console.log(
    `${lost.length} lost and ${refused.length} refused of ${result.answers.length}; ${givenUp.length} attempts given up in silence`,
);
console.log(`lost: ${describe(lost, ({ id, status, reason }) => `${id.split("-")[0]} ${status} ${reason}`)}`);
const times = result.answers.filter(({ id }) => id.startsWith("stream-")).map(({ sentAt, endedAt }) =>
    endedAt - sentAt
);
console.log(`streams: ${describeShares(times)} ms`);
console.log(`refused: ${describe(refused, ({ id, status }) => `${id.split("-")[0]} ${status}`)}`);
console.log(`given up: ${describe(givenUp, ({ reason }) => String(reason))}`);
console.log(`silences: ${describe(getLines("silence-ended"), ({ end, isReplaced }) => `${end} ${isReplaced ?? ""}`)}`);
const overlaps = findOverlaps();
for (const [title, isBegun] of [["none had begun", false], ["the first one had fallen silent", true]] as const) {
    const found = overlaps.filter(overlap => overlap.isBegun === isBegun);
    const whole = describeShares(found.map(({ milliseconds }) => milliseconds));
    const late = describeShares(found.map(({ begunMilliseconds }) => begunMilliseconds));
    console.log(`two attempts open, ${title}: ${found.length}; ${whole} ms; after one has begun: ${late} ms`);
}
console.log(`broken off: ${describe(getLines("answer-broken"), ({ reason }) => String(reason))}`);
const failures = getLines("escalation-failed");
console.log(`escalation-failed: ${describe(failures, ({ reason }) => String(reason))}; ${describeTimes(failures)}`);
const ejections = getLines("upstream-ejected");
console.log(`upstream-ejected: ${ejections.length}; ${describeTimes(ejections)}`);
console.log(`bursts of them: ${describe(findBursts(ejections), text => text)}`);
console.log(`lines: ${describe(result.events, ({ name }) => name)}`);
const unserved = [...lost, ...refused.filter(({ status }) => status !== 401 && status !== 404)];
for (const { id, path, status, body, reason, sentAt, endedAt } of unserved.slice(0, Number(values.lines))) {
    const milliseconds = Math.round(endedAt - sentAt);
    console.log(
        `${id} ${path} status ${status}, ${body.split("\n\n").length - 1} events, ${milliseconds} ms: ${reason}`,
    );
    for (const event of result.events.filter(({ request }) => request === id)) {
        console.log(`    ${JSON.stringify(event)}`);
    }
}
console.log(result.timeLine.join("\n"));
process.exit(lost.length === 0 ? 0 : 1);

/** Two attempts of one request that were open at once. */
interface Overlap {
    readonly milliseconds: number;
    /** Whether the answer of the first one had begun when the second one was sent. */
    readonly isBegun: boolean;
    /** Time for which both were open after the answer of one had begun. */
    readonly begunMilliseconds: number;
}

function findOverlaps(): readonly Overlap[] {
    const byRequest = new Map<string, EventLine[]>();
    for (const line of getLines("attempt-ended")) {
        const request = String(line.request);
        byRequest.set(request, [...byRequest.get(request) ?? [], line]);
    }
    const found: Overlap[] = [];
    for (const lines of byRequest.values()) {
        const attempts = lines.map(({ startedMs, wholeMs, headMs }) => {
            const start = Number(startedMs);
            const headAt = headMs === undefined ? Number.POSITIVE_INFINITY : start + Number(headMs);
            return { start, headAt, end: start + Number(wholeMs) };
        }).sort((left, right) => left.start - right.start);
        for (const [index, first] of attempts.entries()) {
            for (const second of attempts.slice(index + 1)) {
                const end = Math.min(first.end, second.end);
                const begunAt = Math.max(second.start, Math.min(first.headAt, second.headAt));
                if (end > second.start) {
                    const isBegun = first.headAt <= second.start;
                    found.push({
                        milliseconds: end - second.start,
                        isBegun,
                        begunMilliseconds: Math.max(0, end - begunAt),
                    });
                }
            }
        }
    }
    return found;
}

function getLines(name: string): readonly EventLine[] {
    return result.events.filter(event => event.name === name);
}

/** Counts items by a text. */
function describe<T>(items: readonly T[], getText: (item: T) => string): string {
    const counts = new Map<string, number>();
    for (const item of items) {
        counts.set(getText(item), (counts.get(getText(item)) ?? 0) + 1);
    }
    return [...counts].map(([text, count]) => `${count} ${text.trim()}`).join(", ");
}

/** Describes how long after the start of a silence lines were written. */
function describeTimes(lines: readonly EventLine[]): string {
    const times = lines.map(({ time }) => time - (result.silences.findLast(start => start <= time) ?? time));
    return `${describeShares(times)} ms after the start of a silence`;
}

function describeShares(numbers: readonly number[]): string {
    const sorted = [...numbers].sort((left, right) => left - right);
    return [0.1, 0.5, 0.9, 0.99, 1].map(share => {
        const value = sorted[Math.floor((sorted.length - 1) * share)];
        return `${100 * share}% ${value === undefined ? "-" : Math.round(value)}`;
    }).join(", ");
}

/** Returns, for each group of lines that several nodes wrote at the same time, of how many nodes and runners they tell. */
function findBursts(lines: readonly EventLine[]): readonly string[] {
    const sorted = [...lines].sort((left, right) => left.time - right.time);
    const bursts: string[] = [];
    while (sorted.length > 0) {
        const start = sorted[0].time;
        const length = sorted.findIndex(({ time }) => time > start + burstMilliseconds);
        const group = sorted.splice(0, length < 0 ? sorted.length : length);
        const nodes = new Set(group.map(({ process: node }) => node)).size;
        if (nodes >= 2) {
            bursts.push(`of ${nodes} nodes on ${new Set(group.map(({ upstream }) => upstream)).size} runners`);
        }
    }
    return bursts;
}
