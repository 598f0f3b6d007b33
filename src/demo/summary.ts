/**
 * The summary of the demo, and the checks of the invariants.
 */
import type { Bill } from "../bills/index.js";
import type { DemoPlan } from "./demoPlan.js";
import type { PrintRecord, WorkRecord } from "./workload.js";

/** The data that the demo collected. */
export interface DemoObservations {
    readonly plan: DemoPlan;
    readonly chats: readonly WorkRecord[];
    readonly prints: readonly PrintRecord[];
    /** Number of runs of each idempotency key, from the journals of the services. */
    readonly runs: ReadonlyMap<string, number>;
    readonly bills: ReadonlyMap<string, Bill>;
    readonly changeMilliseconds: number;
    readonly rolloutMilliseconds: number;
    /** Wall-clock milliseconds at which the withdrawal was in force on all entries. */
    readonly withdrawnAt: number;
    readonly withdrawalMilliseconds: number;
    readonly engineRunStarts: readonly { readonly version: string; readonly at: number; }[];
}

/** An invariant that did not hold in the demo. */
export class InvariantViolation extends Error {}

/**
 * Creates the summary.
 * @throws {InvariantViolation} When an invariant did not hold.
 * @param observations - The data that the demo collected.
 */
export function createSummary(observations: DemoObservations): readonly string[] {
    checkInvariants(observations);
    return [
        ...summarizeRequests(observations),
        ...summarizeVersions(observations),
        ...summarizeChanges(observations),
    ];
}

function checkInvariants(observations: DemoObservations): void {
    for (const [key, runs] of observations.runs) {
        if (runs > 1) {
            throw new InvariantViolation(`The call with the idempotency key ${key} ran ${runs} times.`);
        }
    }
    for (const { chat } of observations.chats) {
        if (chat.isComplete && !chat.text.includes(chat.requestId ?? "-")) {
            throw new InvariantViolation(`The request ${chat.requestId} received the answer of another request.`);
        }
    }
    const { withdrawnVersion } = observations.plan;
    const lateRuns = observations.engineRunStarts.filter(({ version, at }) =>
        version === withdrawnVersion && at > observations.withdrawnAt
    );
    if (lateRuns.length > 0) {
        throw new InvariantViolation(
            `${withdrawnVersion} received ${lateRuns.length} new requests after its withdrawal was in force.`,
        );
    }
}

function summarizeRequests({ chats, prints, runs, bills }: DemoObservations): readonly string[] {
    const lines = ["", "Requests"];
    const workspaces = [...new Set(chats.map(({ work }) => work.workspace))];
    for (const workspace of workspaces) {
        const workspaceChats = chats.filter(({ work }) => work.workspace === workspace);
        const answered = workspaceChats.filter(({ chat }) => chat.isComplete);
        const refused = workspaceChats.filter(({ chat }) => chat.status !== 200);
        let cost = 0;
        for (const { chat } of answered) {
            cost += bills.get(chat.requestId ?? "")?.total ?? 0;
        }
        const qualities = answered.map(({ chat }) => readQuality(chat.text));
        const firstTokens = answered.map(({ chat }) => chat.firstTokenMilliseconds);
        lines.push(
            `  ${
                workspace.padEnd(12)
            } ${workspaceChats.length} requests, ${answered.length} answered, ${refused.length} refused, `
                + `cost ${cost.toFixed(6)}, mean quality ${mean(qualities).toFixed(2)}, `
                + `first token ${percentile(firstTokens, 0.5)} ms (median) ${percentile(firstTokens, 0.95)} ms (p95)`,
        );
    }
    const replayed = prints.filter(({ first, second }) => first.isReplayed || second.isReplayed).length;
    lines.push(
        `  ${prints.length} calls were sent twice with the same key: ${runs.size} keys ran, each once; `
            + `${replayed} second answers were replays of the first`,
        `  ${bills.size} bills, one for each answered request`,
    );
    return lines;
}

function summarizeVersions({ chats }: DemoObservations): readonly string[] {
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

function summarizeChanges(observations: DemoObservations): readonly string[] {
    const { candidate } = observations.plan.rollout;
    const candidateAnswers = observations.chats.filter(({ chat }) => chat.version === candidate).length;
    const { length } = observations.chats;
    return [
        "",
        "Changes",
        `  a published change was in force on all entries after ${Math.round(observations.changeMilliseconds)} ms`,
        `  the bad candidate ${candidate} was halted after ${Math.round(observations.rolloutMilliseconds)} ms; `
        + `${candidateAnswers} of ${length} answers came from it`,
        `  the withdrawal of ${observations.plan.withdrawnVersion} was in force after ${
            Math.round(observations.withdrawalMilliseconds)
        } ms; `
        + "it received no new requests after that",
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

function percentile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0);
}
