/**
 * The demo's summary, and its verdict on what must always hold.
 */
import type { Bill } from "../bills/index.js";
import type { DemoPlan } from "./demoPlan.js";
import type { PrintRecord, WorkRecord } from "./workload.js";

/** What the demo saw. */
export interface DemoFacts {
    readonly plan: DemoPlan;
    readonly chats: readonly WorkRecord[];
    readonly prints: readonly PrintRecord[];
    /** How often each idempotency key ran, as the services counted. */
    readonly runs: ReadonlyMap<string, number>;
    readonly bills: ReadonlyMap<string, Bill>;
    readonly changeMilliseconds: number;
    readonly rolloutMilliseconds: number;
    /** Wall-clock milliseconds at which the withdrawal was in force everywhere. */
    readonly withdrawnAt: number;
    readonly withdrawalMilliseconds: number;
    readonly engineStarts: readonly { readonly version: string; readonly at: number; }[];
}

/** A promise that the demo saw broken. */
export class BrokenPromise extends Error {}

/**
 * Creates the summary. Throws when the demo saw a promise broken.
 * @param facts - What the demo saw.
 */
export function createSummary(facts: DemoFacts): readonly string[] {
    checkPromises(facts);
    return [
        ...summarizeRequests(facts),
        ...summarizeVersions(facts),
        ...summarizeChanges(facts),
    ];
}

function checkPromises(facts: DemoFacts): void {
    for (const [key, runs] of facts.runs) {
        if (runs > 1) {
            throw new BrokenPromise(`The call with the key ${key} ran ${runs} times.`);
        }
    }
    for (const { chat } of facts.chats) {
        if (chat.isWhole && !chat.text.includes(chat.requestId ?? "-")) {
            throw new BrokenPromise(`The request ${chat.requestId} got another request's answer.`);
        }
    }
    const { withdrawn } = facts.plan;
    const late = facts.engineStarts.filter(({ version, at }) => version === withdrawn && at > facts.withdrawnAt);
    if (late.length > 0) {
        throw new BrokenPromise(`${withdrawn} got ${late.length} new requests after its withdrawal was in force.`);
    }
}

function summarizeRequests({ chats, prints, runs, bills }: DemoFacts): readonly string[] {
    const lines = ["", "Requests"];
    const workspaces = [...new Set(chats.map(({ work }) => work.workspace))];
    for (const workspace of workspaces) {
        const own = chats.filter(({ work }) => work.workspace === workspace);
        const answered = own.filter(({ chat }) => chat.isWhole);
        const refused = own.filter(({ chat }) => chat.status !== 200);
        let cost = 0;
        for (const { chat } of answered) {
            cost += bills.get(chat.requestId ?? "")?.total ?? 0;
        }
        const qualities = answered.map(({ chat }) => readQuality(chat.text));
        const firstTokens = answered.map(({ chat }) => chat.firstTokenMilliseconds);
        lines.push(
            `  ${workspace.padEnd(12)} ${own.length} requests, ${answered.length} answered, ${refused.length} refused, `
                + `cost ${cost.toFixed(6)}, mean quality ${mean(qualities).toFixed(2)}, `
                + `first token ${percentile(firstTokens, 0.5)} ms (median) ${percentile(firstTokens, 0.95)} ms (p95)`,
        );
    }
    const replayed = prints.filter(({ first, second }) => first.isReplayed || second.isReplayed).length;
    lines.push(
        `  ${prints.length} calls were sent twice under one key: ${runs.size} keys ran, each once; `
            + `${replayed} second answers were the first one's`,
        `  ${bills.size} bills, one for each answered request`,
    );
    return lines;
}

function summarizeVersions({ chats }: DemoFacts): readonly string[] {
    const counts = new Map<string, number>();
    for (const { work, chat } of chats) {
        if (chat.version !== undefined) {
            const name = `${work.requestClass.padEnd(16)} ${chat.version}`;
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
    }
    const lines = ["", "Versions by class of request"];
    for (const [name, count] of [...counts].sort()) {
        lines.push(`  ${name}: ${count}`);
    }
    return lines;
}

function summarizeChanges(facts: DemoFacts): readonly string[] {
    const { candidate } = facts.plan.rollout;
    const met = facts.chats.filter(({ chat }) => chat.version === candidate).length;
    const { length } = facts.chats;
    return [
        "",
        "Changes",
        `  a published change was in force on all entries after ${Math.round(facts.changeMilliseconds)} ms`,
        `  the bad candidate ${candidate} was halted after ${Math.round(facts.rolloutMilliseconds)} ms; `
        + `${met} of ${length} answers came from it`,
        `  the withdrawal of ${facts.plan.withdrawn} was in force after ${
            Math.round(facts.withdrawalMilliseconds)
        } ms; `
        + "it got nothing new after that",
    ];
}

function readQuality(text: string): number {
    return Number(/\[quality ([\d.]+)\]/.exec(text)?.[1] ?? 0);
}

function mean(values: readonly number[]): number {
    let sum = 0;
    for (const value of values) {
        sum += value;
    }
    return values.length === 0 ? 0 : sum / values.length;
}

function percentile(values: readonly number[], part: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0);
}
