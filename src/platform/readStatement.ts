/**
 * Reads what the head of a runner's answer states of the runner.
 */
import type { ReportedLoad, UpstreamStatement } from "../forwarding/index.js";
import { readStatedRate } from "../ratelimits/index.js";
import { readRest } from "../upstream/index.js";
import { findHeader } from "./headers.js";
import { headerNames } from "./wire.js";

const leavingValue = "1";
/** Slowdown at which work takes as long as usual. */
const usualPercent = 100;
/** Limits of plausible figures. Beyond them, averages over a pool would be of no use. */
const maxCount = 1_000_000;
const minPercent = 1;
const maxPercent = 10_000;

/**
 * Reads what a runner states with an answer or a refusal.
 * @param raw - The headers, as alternating names and values.
 * @param status - HTTP status.
 */
export function readStatement(raw: readonly string[], status: number): UpstreamStatement {
    const date = findHeader(raw, "date");
    const rest = readRest({ status, retryAfter: findHeader(raw, headerNames.retryAfter), date }, Date.now());
    const load = readLoad(findHeader(raw, headerNames.load));
    return {
        load: load.kind === "reported" ? load.load : undefined,
        unreadableLoad: load.kind === "unreadable" ? load.value : undefined,
        requestsPerSecond: readStatedRate(findHeader(raw, headerNames.rateLimit), status),
        rejectionsPerSecond: readStatedRate(findHeader(raw, headerNames.rejectionLimit), status),
        isLeaving: findHeader(raw, headerNames.leaving)?.trim() === leavingValue,
        restMilliseconds: rest.kind === "asked" ? rest.milliseconds : undefined,
        unreadableRest: rest.kind === "unreadable" ? rest.value : undefined,
    };
}

/** A load report, or the value of one that cannot be read. */
type LoadReport =
    | { readonly kind: "none"; }
    | { readonly kind: "unreadable"; readonly value: string; }
    | { readonly kind: "reported"; readonly load: ReportedLoad; };

/** Reads running and waiting requests, slots, and optionally the slowdown in percent, separated by commas. */
function readLoad(value: string | undefined): LoadReport {
    if (value === undefined) {
        return { kind: "none" };
    }
    const texts = value.split(",").map(text => text.trim());
    const [running, waiting, slots] = texts.map(readCount);
    const percent = texts.length === 4 ? readPercent(texts[3]) : usualPercent;
    const isCounted = running !== undefined && waiting !== undefined && slots !== undefined && slots > 0;
    if (texts.length < 3 || texts.length > 4 || !isCounted || percent === undefined) {
        return { kind: "unreadable", value };
    }
    const slowdown = texts.length === 4 ? percent / usualPercent : undefined;
    return { kind: "reported", load: { running, waiting, slots, slowdown } };
}

function readCount(text: string): number | undefined {
    const count = Number(text);
    return /^\d+$/.test(text) && count <= maxCount ? count : undefined;
}

function readPercent(text: string): number | undefined {
    const percent = Number(text);
    return /^\d+(\.\d+)?$/.test(text) && percent >= minPercent && percent <= maxPercent ? percent : undefined;
}
