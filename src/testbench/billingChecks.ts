/**
 * Checks bills and answers against independent records: the bytes that callers received, the work that the upstreams
 * ran, and the records in the log.
 */
import type { Bill, BillLine } from "../bills/index.js";
import type { ChatRecord, ServiceRecord } from "../caller/index.js";
import { getAnswerHash } from "../standins/index.js";
import type { EngineRun, ServiceRun } from "./siteChecks.js";

const costTolerance = 1e-9;

/** Represents the records that bills are checked against. */
export interface BillingRecords {
    readonly bills: ReadonlyMap<string, Bill>;
    readonly engineRuns: readonly EngineRun[];
    readonly serviceRuns: readonly ServiceRun[];
    readonly chats: readonly ChatRecord[];
    readonly calls: readonly ServiceRecord[];
}

/**
 * Finds violations of the guarantees about bills, answers and refusals of a site.
 * @param records - All records. Upstreams that were killed have none, so a site is checked only while they run.
 * @returns One message for each violation.
 */
export function findBillingViolations(records: BillingRecords): readonly string[] {
    const runsByRequest = groupByRequest(records.engineRuns);
    const serviceRequestIds = new Set(records.serviceRuns.map(run => run.request));
    const violations: string[] = [];
    for (const bill of records.bills.values()) {
        violations.push(...checkBill(bill, runsByRequest.get(bill.requestId) ?? [], serviceRequestIds));
    }
    for (const chat of records.chats) {
        const chatRuns = runsByRequest.get(chat.requestId ?? "") ?? [];
        violations.push(...checkChat(chat, chatRuns, records.bills.get(chat.requestId ?? "")));
    }
    for (const call of records.calls) {
        if (call.status === 200 && !call.isReplayed && !records.bills.has(call.requestId ?? "")) {
            violations.push(`The call ${call.requestId} was answered, but has no bill.`);
        }
    }
    return violations;
}

/** Groups runs by request. An engine identifies a request's attempts as `REQUEST.STEP.ATTEMPT`. */
function groupByRequest(runs: readonly EngineRun[]): ReadonlyMap<string, readonly EngineRun[]> {
    const byRequest = new Map<string, EngineRun[]>();
    for (const run of runs) {
        const request = run.id.split(".")[0];
        byRequest.set(request, [...byRequest.get(request) ?? [], run]);
    }
    return byRequest;
}

/** Checks that each line of a bill matches work that was done, and that the total is the sum of the lines. */
function checkBill(
    bill: Bill,
    runs: readonly EngineRun[],
    serviceRequestIds: ReadonlySet<string | undefined>,
): string[] {
    const violations: string[] = [];
    let total = 0;
    for (const line of bill.lines) {
        total += line.cost;
        const isModelLine = line.version.includes("@");
        if (isModelLine && !runs.some(run => matchesLine(run, line))) {
            violations.push(`The request ${bill.requestId} is billed for work of ${line.version} that no engine ran.`);
        }
        if (!isModelLine && !serviceRequestIds.has(bill.requestId)) {
            violations.push(`The call ${bill.requestId} is billed, but ran on no service.`);
        }
    }
    if (bill.lines.length === 0 || Math.abs(total - bill.total) > costTolerance) {
        violations.push(`The bill of ${bill.requestId} has the total ${bill.total}, but its lines add up to ${total}.`);
    }
    return violations;
}

function matchesLine(run: EngineRun, line: BillLine): boolean {
    return run.ran === line.version && run.outputTokens === line.outputTokens;
}

function checkChat(chat: ChatRecord, runs: readonly EngineRun[], bill: Bill | undefined): string[] {
    if (chat.outcome === "not-run" && runs.length > 0) {
        return [`The request ${chat.requestId} was reported as "not run", but ran on ${runs[0].runner}.`];
    }
    if (!chat.isComplete) {
        return [];
    }
    const hash = getAnswerHash(chat.text);
    const run = runs.find(candidate => candidate.answerHash === hash);
    if (run === undefined) {
        return [`The request ${chat.requestId} got an answer that no engine produced: "${chat.text.slice(0, 60)}".`];
    }
    const lastLine = bill?.lines.at(-1);
    if (lastLine === undefined) {
        return [`The request ${chat.requestId} was answered, but has no bill.`];
    }
    return matchesLine(run, lastLine) && lastLine.outputTokens === chat.completionTokens
        ? []
        : [
            `The request ${chat.requestId} got ${run.outputTokens} tokens of ${run.ran}, but is billed `
            + `${lastLine.outputTokens} of ${lastLine.version}.`,
        ];
}

/**
 * Finds requests whose bills have different totals. The ledger counts only the first bill of a request, so its totals
 * would depend on the order of the records.
 * @param bills - Every bill in the log, including repeats.
 * @returns One message for each conflicting bill.
 */
export function findConflictingBills(bills: readonly Bill[]): readonly string[] {
    const totals = new Map<string, number>();
    const violations: string[] = [];
    for (const bill of bills) {
        const firstTotal = totals.get(bill.requestId);
        if (firstTotal !== undefined && Math.abs(firstTotal - bill.total) > costTolerance) {
            violations.push(`The request ${bill.requestId} has bills of ${firstTotal} and of ${bill.total}.`);
        }
        totals.set(bill.requestId, firstTotal ?? bill.total);
    }
    return violations;
}
