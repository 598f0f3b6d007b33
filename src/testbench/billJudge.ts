/**
 * Judges bills and answers from the records of those who cannot be mistaken: what callers got, byte for byte, what the
 * upstreams ran, and what stands in the log.
 */
import type { Bill, BillLine } from "../bills/index.js";
import type { ChatRecord, ServiceRecord } from "../caller/index.js";
import { getAnswerHash } from "../standins/index.js";
import type { EngineRun, ServiceRun } from "./judge.js";

const costTolerance = 1e-9;

/** Everything that bills are judged by. */
export interface BillEvidence {
    readonly bills: ReadonlyMap<string, Bill>;
    readonly engineRuns: readonly EngineRun[];
    readonly serviceRuns: readonly ServiceRun[];
    readonly chats: readonly ChatRecord[];
    readonly calls: readonly ServiceRecord[];
}

/**
 * Finds what breaks the promises about bills, answers and refusals of a site.
 * @param evidence - All records; upstreams that were killed have none, so a site is judged only while they live.
 */
export function findBillingFaults(evidence: BillEvidence): readonly string[] {
    const runs = groupByRequest(evidence.engineRuns);
    const services = new Set(evidence.serviceRuns.map(run => run.request));
    const faults: string[] = [];
    for (const bill of evidence.bills.values()) {
        faults.push(...judgeBill(bill, runs.get(bill.requestId) ?? [], services));
    }
    for (const chat of evidence.chats) {
        const ran = runs.get(chat.requestId ?? "") ?? [];
        faults.push(...judgeChat(chat, ran, evidence.bills.get(chat.requestId ?? "")));
    }
    for (const call of evidence.calls) {
        if (call.status === 200 && !call.isReplayed && !evidence.bills.has(call.requestId ?? "")) {
            faults.push(`The call ${call.requestId} was answered and has no bill.`);
        }
    }
    return faults;
}

/** Returns the runs of each request. An engine knows a request's attempts as `REQUEST.STEP.ATTEMPT`. */
function groupByRequest(runs: readonly EngineRun[]): ReadonlyMap<string, readonly EngineRun[]> {
    const byRequest = new Map<string, EngineRun[]>();
    for (const run of runs) {
        const request = run.id.split(".")[0];
        byRequest.set(request, [...byRequest.get(request) ?? [], run]);
    }
    return byRequest;
}

/** A bill must stand for work that was done, line by line, and its total for its lines. */
function judgeBill(bill: Bill, runs: readonly EngineRun[], services: ReadonlySet<string | undefined>): string[] {
    const faults: string[] = [];
    let total = 0;
    for (const line of bill.lines) {
        total += line.cost;
        const isModel = line.version.includes("@");
        if (isModel && !runs.some(run => isRunOfLine(run, line))) {
            faults.push(`The request ${bill.requestId} is billed for work of ${line.version} that no engine did.`);
        }
        if (!isModel && !services.has(bill.requestId)) {
            faults.push(`The call ${bill.requestId} is billed and ran on no service.`);
        }
    }
    if (bill.lines.length === 0 || Math.abs(total - bill.total) > costTolerance) {
        faults.push(`The bill of ${bill.requestId} says ${bill.total}, and its lines ${total}.`);
    }
    return faults;
}

function isRunOfLine(run: EngineRun, line: BillLine): boolean {
    return run.ran === line.version && run.outputTokens === line.outputTokens;
}

function judgeChat(chat: ChatRecord, runs: readonly EngineRun[], bill: Bill | undefined): string[] {
    if (chat.outcome === "not-run" && runs.length > 0) {
        return [`The request ${chat.requestId} was called "not run" and ran on ${runs[0].runner}.`];
    }
    if (!chat.isWhole) {
        return [];
    }
    const hash = getAnswerHash(chat.text);
    const run = runs.find(candidate => candidate.answerHash === hash);
    if (run === undefined) {
        return [`The request ${chat.requestId} got an answer that no engine gave it: "${chat.text.slice(0, 60)}".`];
    }
    const last = bill?.lines.at(-1);
    if (last === undefined) {
        return [`The request ${chat.requestId} was answered and has no bill.`];
    }
    return isRunOfLine(run, last) && last.outputTokens === chat.completionTokens
        ? []
        : [
            `The request ${chat.requestId} got ${run.outputTokens} tokens of ${run.ran} and is billed `
            + `${last.outputTokens} of ${last.version}.`,
        ];
}

/**
 * Returns the bills that stand for a request and differ from each other: a ledger would count whichever came first.
 * @param all - Every bill in the log, repeats among them.
 */
export function findUnlikeBills(all: readonly Bill[]): readonly string[] {
    const totals = new Map<string, number>();
    const faults: string[] = [];
    for (const bill of all) {
        const known = totals.get(bill.requestId);
        if (known !== undefined && Math.abs(known - bill.total) > costTolerance) {
            faults.push(`The request ${bill.requestId} has bills of ${known} and of ${bill.total}.`);
        }
        totals.set(bill.requestId, known ?? bill.total);
    }
    return faults;
}
