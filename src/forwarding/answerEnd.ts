/**
 * Decides what an answer is and how it has ended, for every answer that is forwarded: streams and calls, each of their parts, also those
 * that were kept or relayed.
 *
 * Nothing else may look at the status or the type of an answer, or at its last bytes, to decide that. Where two places decide by different
 * properties, an answer is passed on as one thing and judged as another, and one that was broken off passes for whole.
 *
 * Who may say that an answer is whole: its upstream, by a framing that it has completed, or by an end in order that its process has
 * outlived (`Attempt.confirmEnd`). The framing towards the caller is the node's own, and is completed on that knowledge alone.
 */
import type { Route } from "../routing/index.js";
import type { EventSplitter } from "./eventSplitter.js";
import type { UpstreamAnswer } from "./upstreamCall.js";

/** Media type of a stream of events. */
export const eventStreamType = "text/event-stream";
const minSuccessStatus = 200;
const minRedirectStatus = 300;
/** An event without data has no effect at its reader. */
const unfinishedEvent = Buffer.from("event: broken-off\n");

/** Why an attempt failed whose upstream crashed as its answer ended, for log lines. */
export const crashedAtEndReason = "the upstream crashed as its answer ended";
/** What is said of an answer without a framing whose upstream has not outlived its end, as far as known, for log lines. */
export const unconfirmedReason = "its end is not confirmed";

/** What the body of an answer is: a stream of events, or bytes of which nothing is known on the way. */
export type AnswerForm = "events" | "bytes";

/**
 * What is known of an answer whose body has ended without an error.
 * - `whole`: its upstream has said that it is complete.
 * - `unstated`: it ended with its connection, in order and between two events, as whole and as broken-off ones do.
 * - `inside-event`: it was broken off, whatever its framing says.
 */
export type AnswerEnd = "whole" | "unstated" | "inside-event";

/**
 * Decides what an answer is. On a stream's route, every success is a stream of events unless its type says that it is something else; on
 * another route only one that says so.
 * @param route - The route of its request.
 * @param answer - Its head.
 */
export function getAnswerForm(
    { kind }: Pick<Route, "kind">,
    { status, mediaType }: Pick<UpstreamAnswer, "status" | "mediaType">,
): AnswerForm {
    const isSuccess = status >= minSuccessStatus && status < minRedirectStatus;
    const type = mediaType ?? (kind === "stream" ? eventStreamType : undefined);
    return isSuccess && type === eventStreamType ? "events" : "bytes";
}

/**
 * Decides how an answer has ended.
 * @param answer - Its head.
 * @param form - What it is.
 * @param splitter - What has read its events to the end.
 */
export function judgeAnswerEnd(
    { hasKnownEnd }: Pick<UpstreamAnswer, "hasKnownEnd">,
    form: AnswerForm,
    splitter: Pick<EventSplitter, "isInsideEvent">,
): AnswerEnd {
    if (form === "events" && splitter.isInsideEvent()) {
        return "inside-event";
    }
    return hasKnownEnd ? "whole" : "unstated";
}

/** Returns bytes after which an answer is certainly incomplete; undefined if there are none. */
export function getIncompleteEnd(form: AnswerForm): Buffer | undefined {
    return form === "events" ? unfinishedEvent : undefined;
}
