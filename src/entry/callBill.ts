/**
 * Creates bills from the tokens that the answers to a call used.
 */
import type { Bill, BillLine } from "../bills/index.js";
import type { TokenUsage } from "../upstream/index.js";
import { getPrice, type ModelVersion } from "../world/index.js";
import type { ChatCall } from "./chatCall.js";

/** Creates the bill of an answered call. */
export function createBill(
    call: Pick<ChatCall, "requestId" | "workspace" | "application" | "requestClass" | "session">,
    lines: readonly BillLine[],
    entry: string,
    answeredAt: number,
): Bill {
    let total = 0;
    for (const line of lines) {
        total += line.cost;
    }
    return {
        requestId: call.requestId,
        workspace: call.workspace,
        application: call.application,
        requestClass: call.requestClass,
        session: call.session,
        lines,
        total,
        answeredAt,
        entry,
    };
}

/** Creates the bill line of one version's answer. */
export function createBillLine(version: ModelVersion, usage: TokenUsage): BillLine {
    return {
        version: version.id,
        inputTokens: usage.inputTokens,
        cachedTokens: usage.cachedTokens,
        outputTokens: usage.outputTokens,
        cost: getPrice(version, usage.inputTokens, usage.outputTokens),
    };
}
