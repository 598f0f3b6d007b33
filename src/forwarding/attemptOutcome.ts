/**
 * Says what came of an attempt, for the choice of upstreams and for log lines.
 */
import type { CallOutcome } from "../decisions/index.js";
import { getAnswerForm } from "./answerEnd.js";
import type { AttemptRequest } from "./attempt.js";
import type { Exchange } from "./exchange.js";
import type { ReportedLoad, UpstreamAnswer, UpstreamCallFailure } from "./upstreamCall.js";

/** Statuses from here on are errors of the caller or the upstream, which say nothing about how long requests take. */
export const minErrorStatus = 400;

/** Formats a reported load: running and waiting requests, slots, and the slowdown if the upstream states it. */
export function formatLoad({ running, waiting, slots, slowdown }: ReportedLoad): string {
    return [running, waiting, slots, ...slowdown === undefined ? [] : [slowdown]].join(",");
}

/** Returns the type of a success that is not a stream of events exactly where the route leads to expect one, for log lines. */
export function getUnexpectedType({ route }: Exchange, { status, mediaType }: UpstreamAnswer): string | undefined {
    const isEventStream = getAnswerForm(route, { status, mediaType }) === "events";
    const isExpected = isEventStream === (route.kind === "stream") && (mediaType !== undefined || !isEventStream);
    return isExpected || status >= minErrorStatus ? undefined : mediaType ?? "none";
}

/** Returns whether an upstream broke off a call, as it does when it crashes. */
export function isBroken(outcome: CallOutcome): boolean {
    return outcome === "failed" || outcome === "silent";
}

/** Returns why an attempt failed, for log lines. */
export function getFailureReason(
    { exchange, withdrawal }: AttemptRequest,
    { reason }: UpstreamCallFailure,
    isHeadTimedOut: boolean,
): string {
    if (isHeadTimedOut) {
        return "no answer in time";
    }
    return withdrawal?.aborted === true && !exchange.ended.aborted ? "an earlier attempt goes on" : reason;
}

/** Returns the outcome of an attempt that failed, for the choice of upstreams. */
export function classifyFailure(
    { exchange, withdrawal }: AttemptRequest,
    failure: UpstreamCallFailure,
    isHeadTimedOut: boolean,
): CallOutcome {
    if (failure.kind === "refused" || failure.kind === "replaced" || failure.kind === "no-room") {
        return "refused";
    }
    const isCancelled = exchange.ended.aborted || withdrawal?.aborted === true;
    return !isHeadTimedOut && isCancelled ? "cancelled" : "silent";
}
