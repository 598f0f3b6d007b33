/**
 * Judges a site from the records of those who cannot be mistaken: the callers, the upstreams and the ledger.
 */
import type { ChatRecord, ServiceRecord } from "../caller/index.js";
import type { Site } from "./site/index.js";
import { getJournal } from "./standinControl.js";

/** A call under an idempotency key, with what its caller was told. */
export interface KeyedCall {
    readonly key: string;
    readonly record: ServiceRecord;
}

/** A run that a plain service counted. */
export interface ServiceRun {
    readonly key?: string;
    readonly request?: string;
}

/** Work that an engine took on. */
export interface EngineRun {
    readonly runner: string;
    /** Identifier of the stream: the request's, and the attempt's. */
    readonly id: string;
    readonly asked: string;
    readonly ran: string;
    readonly arrivedAt: number;
    readonly outcome: string;
    readonly outputTokens: number;
    /** Hash of the text, once the run has ended. */
    readonly answerHash?: string;
}

/** Returns every run that the site's plain services counted. */
export async function readServiceRuns(site: Site): Promise<readonly ServiceRun[]> {
    const runs: ServiceRun[] = [];
    for (const [name, upstream] of site.getUpstreams()) {
        if (name.startsWith("service") && !upstream.hasExited()) {
            runs.push(...await getJournal<ServiceRun>(upstream.getAddress()));
        }
    }
    return runs;
}

/** Returns all work that the site's engines took on. */
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
 * Finds what breaks the promises about calls that must not be repeated: a key that ran twice, and a refusal that said
 * "not run" of a request that ran.
 * @param runs - What the services counted.
 * @param calls - What the callers were told.
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
            violations.push(`The request ${record.requestId} with the key ${key} was called "not run" and ran.`);
        }
        if (record.status === 200 && counts.get(key) === undefined) {
            violations.push(`The key ${key} was answered and never ran.`);
        }
    }
    return violations;
}

/**
 * Finds what breaks the promises about bills and answers: a whole answer without a bill, an answer that is another
 * request's, and tokens or versions that differ between what the caller got and what it is billed for.
 * @param site - The site, whose log holds the bills.
 * @param chats - What the callers got.
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
            violations.push(`The request ${chat.requestId} was answered and has no bill.`);
            continue;
        }
        if (lastLine.outputTokens !== chat.completionTokens) {
            violations.push(
                `The request ${chat.requestId} is billed ${lastLine.outputTokens} of ${chat.completionTokens} tokens.`,
            );
        }
        if (!chat.text.startsWith(`answer ${chat.requestId}.`) || !chat.text.includes(` by ${lastLine.version}:`)) {
            violations.push(`The request ${chat.requestId} got the answer "${chat.text.slice(0, 60)}".`);
        }
    }
    return violations;
}
