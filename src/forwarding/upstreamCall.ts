/**
 * One call to one upstream, independent of the protocol.
 */
import type { Result } from "neverthrow";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { TransportFailureKind } from "../upstream/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** Status of a whole answer, or of a stream that has begun. */
export const successStatus = 200;
/** Statuses from here on are failures of the upstream. */
export const minServerErrorStatus = 500;

/** Parameters of a call to an upstream. */
export interface UpstreamCall {
    readonly request: CallerRequest;
    /** Returns the remaining time in milliseconds. The request may wait for a connection before it is sent. */
    readonly getTimeLeft: () => number;
    readonly workspace: string | undefined;
    /** The model that has to answer. Undefined keeps the model that the caller sent. */
    readonly model: string | undefined;
    /** 0 is the most urgent, 9 the least. */
    readonly urgency: number;
    /** Identifier of the last event that the caller received, when a stream is resumed. */
    readonly lastEventId: string | undefined;
    /** Returns whether the request may not be sent any more, asked after it has waited for a connection. */
    readonly isWithdrawn: () => boolean;
    /** Makes sure that the signal is up to date, as `CallerReply.confirmCaller` does, asked after a wait as well. */
    readonly confirmCaller: () => Promise<void> | undefined;
    /** Called when the request is written to a connection, or passed on to another node. */
    readonly onSent?: (() => void) | undefined;
    /** Cancels the call and its work at the upstream. */
    readonly signal: AbortSignal;
}

/** Load that an upstream reported with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /**
     * How long work takes at the upstream at this moment, relative to usual: 2 for twice as long. Undefined if it does not say. It
     * shares its machine with others, so this changes many times a second and says nothing about its pace.
     */
    readonly slowdown?: number | undefined;
}

/** What the head of an answer or of a refusal states of its upstream. */
export interface UpstreamStatement {
    readonly load: ReportedLoad | undefined;
    /** The value with which the upstream reports its load, if it cannot be read. */
    readonly unreadableLoad: string | undefined;
    /**
     * Requests a second that the upstream takes from all nodes together; infinity if a success states no limit, undefined if the
     * answer says nothing that is certain.
     */
    readonly requestsPerSecond: number | undefined;
    /** Rejections a second that the upstream bears; stated in the same way. */
    readonly rejectionsPerSecond: number | undefined;
    /** Whether the upstream is about to leave, and wants no further requests of any node. */
    readonly isLeaving: boolean;
    /** Time for which the upstream wants no requests from the node that it answered. */
    readonly restMilliseconds: number | undefined;
    /** The value with which the upstream asks for rest, if it cannot be read. */
    readonly unreadableRest: string | undefined;
}

/** The head of an upstream's answer. */
export interface UpstreamAnswer extends UpstreamStatement {
    readonly status: number;
    /** Headers for the caller, as a flat list of names and values. */
    readonly headers: readonly string[];
    /** Media type of the body without its parameters; undefined if the answer states none. */
    readonly mediaType: string | undefined;
    /** Whether the answer carries the upstream's seal, which proves that the upstream itself produced it. */
    readonly isSealed: boolean;
    /** The model's confidence in its answer, 0 to 100. */
    readonly confidence: number | undefined;
    /**
     * Whether a complete body can be distinguished from a truncated one. An answer without a length ends with its connection, and
     * one whose upstream failed looks the same. The router must not present such an answer as complete.
     */
    readonly hasKnownEnd: boolean;
    readonly body: AsyncIterable<Buffer>;
}

/**
 * Kinds of failed calls.
 * - `not-sent`: no connection was established, and nothing was sent.
 * - `refused`: the upstream states that it has not run the request.
 * - `replaced`: another upstream uses the address and has not run the request.
 * - `broken`: the request may have run.
 * - `disconnected`: the upstream closed or reset the connection, and the request may have run.
 */
export type UpstreamFailureKind = TransportFailureKind | "refused" | "replaced";

/** A failed call, with what a refusal states of its upstream. */
export interface UpstreamCallFailure extends Partial<UpstreamStatement> {
    readonly kind: UpstreamFailureKind;
    /** Reason for log lines. */
    readonly reason: string;
}

/** Calls upstreams. */
export interface UpstreamTransport {
    /**
     * Makes one call. Never retries it.
     * @param upstream - The upstream to call.
     * @param call - What to send.
     */
    call(upstream: RegisteredUpstream, call: UpstreamCall): Promise<Result<UpstreamAnswer, UpstreamCallFailure>>;
    /**
     * Finds out whether an upstream still runs: whether its process answers something that is sent after this call. Neither the end of
     * one of its answers nor a connection that is accepted shows that, since the kernel ends and accepts connections for a killed process.
     * @param upstream - The upstream, as it was registered when an answer of it was requested.
     * @param signal - Ends the wait.
     * @returns Whether it certainly does. False also when it could not be asked or has not answered in time.
     */
    confirmRunning(upstream: RegisteredUpstream, signal: AbortSignal): Promise<boolean>;
    /** Uses new connections to an upstream from now on: one of the open ones is unresponsive, and others may be dead as well. */
    renewConnections(upstream: RegisteredUpstream): void;
}

/** Returns whether a failed call certainly has not run and never will. */
export function isCertainlyNotRun(failure: UpstreamCallFailure): boolean {
    return failure.kind !== "broken" && failure.kind !== "disconnected";
}
