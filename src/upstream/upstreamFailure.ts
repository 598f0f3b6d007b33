/**
 * Failures of calls to upstreams, and whether the call was executed.
 */
import { errors } from "undici";
import { Failure, type Outcome } from "../common/index.js";

/** A failed call to an upstream. */
export interface UpstreamFailure {
    readonly failure: Failure;
    /** `not-run` only when nothing was written, or when the upstream itself refused before any work. */
    readonly outcome: Outcome;
}

/** Code of `NotSentError`. */
const notSentCode = "ERR_NOT_SENT";
/** System and client error codes that prove that no connection was established, so nothing was written. */
const connectFailureCodes: ReadonlySet<string> = new Set([
    notSentCode,
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * How a call to an upstream failed.
 * - `not-sent`: no connection was established, and nothing was sent.
 * - `no-room`: nothing was sent, as the upstream takes no more requests from this node, or from the one that would forward it: all
 *   connections are in use, or it rests or leaves.
 * - `disconnected`: the upstream closed or reset the connection.
 * - `broken`: anything else. As after a disconnection, the request may have run.
 */
export type TransportFailureKind = "not-sent" | "no-room" | "disconnected" | "broken";

/** A request that was certainly not sent to its upstream. */
export class NotSentError extends Error {
    readonly code = notSentCode;
}

/** A request that was not sent since the upstream takes no more requests from the node that would forward it. */
export class NoRoomError extends NotSentError {}

/**
 * Classifies an exception of the HTTP client by what it proves.
 * @param error - The exception.
 * @param signal - Signal that cancels the call. What happens to a cancelled call proves nothing about its upstream.
 */
export function classifyTransportError(error: unknown, signal: AbortSignal): TransportFailureKind {
    if (error instanceof NoRoomError) {
        return "no-room";
    }
    if (provesNothingWritten(error)) {
        return "not-sent";
    }
    const isDisconnection = error instanceof errors.SocketError || getCode(error) === "ECONNRESET";
    return isDisconnection && !signal.aborted ? "disconnected" : "broken";
}

/** Returns the code of an exception of the HTTP client, or its text. */
export function describeTransportError(error: unknown): string {
    const code = getCode(error);
    return typeof code === "string" && code !== notSentCode ? code : String(error);
}

/**
 * Classifies an exception of the HTTP client.
 *
 * A connection that breaks after the request was written may have broken before or after the upstream acted. Only a failure to
 * connect proves that nothing ran. Everything else is `unknown`; otherwise a caller could be told that a request has not run
 * although it has.
 * @param error - The exception of the HTTP client.
 * @param upstream - Name of the upstream, for the message.
 */
export function classifyCallError(error: unknown, upstream: string): UpstreamFailure {
    const outcome = provesNothingWritten(error) ? "not-run" : "unknown";
    return {
        outcome,
        failure: new Failure({
            kind: "upstream-failed",
            message: `The call to ${upstream} failed: ${describeError(error)}.`,
            remedy: outcome === "not-run" ? "Send the request again." : "Check its outcome before sending it again.",
            cause: error,
        }),
    };
}

/**
 * Classifies the status with which an upstream refused a request.
 *
 * The interfaces guarantee that 404 (version not loaded), 409 (leaving), 429 and 503 are sent before any work.
 * @param status - HTTP status.
 * @param upstream - Name of the upstream.
 * @param retryAfterSeconds - Value of `Retry-After`, if sent.
 */
export function classifyRefusal(status: number, upstream: string, retryAfterSeconds?: number): UpstreamFailure {
    const isRefusedBeforeWork = status === 404 || status === 409 || status === 429 || status === 503;
    return {
        outcome: isRefusedBeforeWork ? "not-run" : "unknown",
        failure: new Failure({
            kind: status === 429 || status === 503 ? "overloaded" : "upstream-failed",
            message: `The upstream ${upstream} answered with status ${status}.`,
            remedy: isRefusedBeforeWork
                ? "Send the request to another upstream."
                : "Check its outcome before sending it again.",
            retryAfterMilliseconds: retryAfterSeconds === undefined ? undefined : retryAfterSeconds * 1000,
        }),
    };
}

/** Returns whether an exception of the HTTP client proves that no connection was established, so nothing was written. */
export function provesNothingWritten(error: unknown): boolean {
    if (error instanceof errors.ConnectTimeoutError) {
        return true;
    }
    if (error instanceof AggregateError) {
        return error.errors.length > 0 && error.errors.every(provesNothingWritten);
    }
    const code = getCode(error);
    return typeof code === "string" && connectFailureCodes.has(code) && !isOfOpenConnection(error);
}

/** Returns whether a system error ended an open connection. A network that is lost while a request runs gives the same codes. */
function isOfOpenConnection(error: unknown): boolean {
    const { syscall } = error as NodeJS.ErrnoException;
    return syscall !== undefined && syscall !== "connect";
}

function describeError(error: unknown): string {
    if (error instanceof Error) {
        const code = getCode(error);
        return typeof code === "string" ? `${error.message || error.name} (${code})` : error.message || error.name;
    }
    return String(error);
}

function getCode(error: unknown): unknown {
    return (error as { code?: unknown; } | undefined)?.code;
}
