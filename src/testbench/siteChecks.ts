/**
 * Checks a site against independent records: those of the callers, the upstreams and the ledger.
 */
import type { ChatRecord, ServiceRecord } from "../caller/index.js";
import type { Site } from "./site/index.js";
import { getJournal } from "./standinControl.js";

/** Represents a call with an idempotency key and the response that its caller received. */
export interface KeyedCall {
    readonly key: string;
    readonly record: ServiceRecord;
}

/** Represents a run that a plain service recorded. */
export interface ServiceRun {
    readonly key?: string;
    readonly request?: string;
}

/** Represents work that an engine accepted. */
export interface EngineRun {
    readonly runner: string;
    /** Identifier of the stream, which consists of the request's and the attempt's identifiers. */
    readonly id: string;
    readonly asked: string;
    readonly ran: string;
    readonly arrivedAt: number;
    readonly outcome: string;
    readonly outputTokens: number;
    /** Hash of the answer's text; undefined until the run has ended. */
    readonly answerHash?: string;
}

/** Returns every run that the site's running plain services recorded. */
export async function readServiceRuns(site: Site): Promise<readonly ServiceRun[]> {
    const runs: ServiceRun[] = [];
    for (const [name, upstream] of site.getUpstreams()) {
        if (name.startsWith("service") && !upstream.hasExited()) {
            runs.push(...await getJournal<ServiceRun>(upstream.getAddress()));
        }
    }
    return runs;
}

/** Returns all work that the site's running engines accepted. */
export async function readEngineRuns(site: Site): Promise<readonly EngineRun[]> {
    const runs: EngineRun[] = [];
    for (const [name, upstream] of site.getUpstreams()) {
        if (!name.startsWith("runner") || upstream.hasExited()) {
            continue;
        }
        for (
            const journalEntry of await getJournal<Omit<EngineRun, "runner"> & { readonly kind: string; }>(
                upstream.getAddress(),
            )
        ) {
            if (journalEntry.kind === "request") {
                runs.push({ ...journalEntry, runner: name });
            }
        }
    }
    return runs;
}

/**
 * Finds violations of the at-most-once guarantee: a key that ran twice, a refusal that reported "not run" for a request
 * that ran, and an answered key that never ran.
 * @param runs - The runs that the services recorded.
 * @param calls - The responses that the callers received.
 * @returns One message for each violation.
 */
export function findRunViolations(runs: readonly ServiceRun[], calls: readonly KeyedCall[]): readonly string[] {
    const violations: string[] = [];
    const counts = new Map<string, number>();
    for (const { key } of runs) {
        if (key !== undefined) {
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    for (const [key, count] of counts) {
        if (count > 1) {
            violations.push(`The key ${key} ran ${count} times.`);
        }
    }
    const executedRequestIds = new Set(runs.map(run => run.request));
    for (const { key, record } of calls) {
        if (record.outcome === "not-run" && executedRequestIds.has(record.requestId)) {
            violations.push(`The request ${record.requestId} with the key ${key} was reported as "not run", but ran.`);
        }
        if (record.status === 200 && counts.get(key) === undefined) {
            violations.push(`The key ${key} was answered, but never ran.`);
        }
    }
    return violations;
}

/**
 * Finds violations of the guarantees about bills and answers: a complete answer without a bill, an answer that belongs
 * to another request, and token counts or versions that differ between the answer and its bill.
 * @param site - The site, whose log holds the bills.
 * @param chats - The responses that the callers received.
 * @returns One message for each violation.
 */
export async function findBillViolations(site: Site, chats: readonly ChatRecord[]): Promise<readonly string[]> {
    const violations: string[] = [];
    const bills = await site.readBills();
    for (const chat of chats) {
        if (!chat.isComplete) {
            continue;
        }
        const bill = bills.get(chat.requestId ?? "");
        const lastLine = bill?.lines.at(-1);
        if (lastLine === undefined) {
            violations.push(`The request ${chat.requestId} was answered, but has no bill.`);
            continue;
        }
        if (lastLine.outputTokens !== chat.completionTokens) {
            violations.push(
                `The request ${chat.requestId} is billed ${lastLine.outputTokens}, but got ${chat.completionTokens} tokens.`,
            );
        }
        if (!chat.text.startsWith(`answer ${chat.requestId}.`) || !chat.text.includes(` by ${lastLine.version}:`)) {
            violations.push(`The request ${chat.requestId} got the wrong answer "${chat.text.slice(0, 60)}".`);
        }
    }
    return violations;
}
