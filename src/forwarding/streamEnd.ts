/**
 * Decides whether a stream is whole whose body has ended without an error.
 */
import type { EventSplitter } from "./eventSplitter.js";
import { successStatus, type UpstreamAnswer } from "./upstreamCall.js";

/** Media type of a stream of events. */
export const eventStreamType = "text/event-stream";
/** An event without data has no effect at its reader. */
const unfinishedEvent = Buffer.from("event: broken-off\n");

/**
 * What is known of a stream that has ended.
 * - `whole`: its upstream has said that it is complete.
 * - `unstated`: it has neither a length nor chunks and ended in order between two events, as whole and as broken-off ones do.
 * - `inside-event`: it was broken off, whatever its framing says.
 */
export type StreamEnd = "whole" | "unstated" | "inside-event";

/**
 * Decides by its framing and its last event.
 * @param answer - The head of the answer.
 * @param splitter - What has read its body to the end.
 */
export function judgeStreamEnd(answer: UpstreamAnswer, splitter: EventSplitter): StreamEnd {
    if (isEventStream(answer, splitter) && splitter.isInsideEvent()) {
        return "inside-event";
    }
    return answer.hasKnownEnd ? "whole" : "unstated";
}

/** An answer that does not state its type is a stream if it contains events. */
function isEventStream({ status, mediaType }: UpstreamAnswer, { hasEvents }: EventSplitter): boolean {
    return status === successStatus && (mediaType === undefined ? hasEvents : mediaType === eventStreamType);
}

/**
 * Returns bytes after which a stream is certainly incomplete, since they end inside an event.
 * @param answer - The head of the answer.
 */
export function getIncompleteEnd({ status, mediaType }: UpstreamAnswer): Buffer | undefined {
    return status === successStatus && (mediaType ?? eventStreamType) === eventStreamType ? unfinishedEvent : undefined;
}
