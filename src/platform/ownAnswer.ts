/**
 * Decides whether an answer belongs to the request that waits for one on its connection.
 *
 * A runner may send additional bytes after a complete answer, or a late answer to an earlier request, where the next answer is expected.
 * Taken for that one, they would promise that a request has not run which runs, or hand a caller what belongs to another.
 */
import { findHeader } from "./headers.js";
import { headerNames } from "./wire.js";

const successStatus = 200;

/** A request as it was sent, with alternating names and values as its headers. */
export interface SentRequest {
    readonly headers: readonly string[];
}

/** The head of an answer, with alternating names and values as its headers. */
export interface ReceivedHead {
    readonly status: number;
    readonly headers: readonly string[];
}

/**
 * Returns whether an answer is certainly one to a request. Runners repeat the identifier of a request in the answer. What they say of
 * themselves may lack it; it is told from additional bytes by its status and by what those of a caller's request would carry.
 */
export function isOwnAnswer({ headers: sent }: SentRequest, { status, headers }: ReceivedHead): boolean {
    const echoedId = findHeader(headers, headerNames.requestId);
    if (echoedId !== undefined) {
        return echoedId === findHeader(sent, headerNames.requestId);
    }
    // Only requests of callers have a deadline.
    const isOfCaller = findHeader(sent, headerNames.deadline) !== undefined;
    return !isOfCaller && status === successStatus && findHeader(headers, headerNames.seal) === undefined;
}
