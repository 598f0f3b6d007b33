/**
 * Reads what the head of a runner's answer states of the runner.
 */
import type { ReportedLoad, UpstreamStatement } from "../forwarding/index.js";
import { readStatedRate } from "../ratelimits/index.js";
import { readRest } from "../upstream/index.js";
import { findHeader } from "./headers.js";
import { headerNames } from "./wire.js";

const leavingValue = "1";

/**
 * Reads what a runner states with an answer or a refusal.
 * @param raw - The headers, as alternating names and values.
 * @param status - HTTP status.
 */
export function readStatement(raw: readonly string[], status: number): UpstreamStatement {
    const date = findHeader(raw, "date");
    const rest = readRest({ status, retryAfter: findHeader(raw, headerNames.retryAfter), date }, Date.now());
    return {
        load: readLoad(raw),
        requestsPerSecond: readStatedRate(findHeader(raw, headerNames.rateLimit), status),
        rejectionsPerSecond: readStatedRate(findHeader(raw, headerNames.rejectionLimit), status),
        isLeaving: findHeader(raw, headerNames.leaving)?.trim() === leavingValue,
        restMilliseconds: rest.kind === "asked" ? rest.milliseconds : undefined,
        unreadableRest: rest.kind === "unreadable" ? rest.value : undefined,
    };
}

function readLoad(raw: readonly string[]): ReportedLoad | undefined {
    const numbers = (findHeader(raw, headerNames.load) ?? "").split(",").map(Number);
    if (numbers.length !== 3 || !numbers.every(number => Number.isFinite(number) && number >= 0)) {
        return undefined;
    }
    const [running, waiting, slots] = numbers;
    return { running, waiting, slots };
}
