/**
 * One call to one upstream, whatever the protocol it is made with.
 */
import type { Result } from "neverthrow";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { CallerRequest } from "./callerRequest.js";

/** What is sent to an upstream. */
export interface UpstreamCall {
    readonly request: CallerRequest;
    /** Time that is left, in milliseconds. */
    readonly deadlineMilliseconds: number;
    readonly workspace: string | undefined;
    /** The model that is to answer; undefined leaves what the caller sent. */
    readonly model: string | undefined;
    /** 0 is the most urgent, 9 the least. */
    readonly urgency: number;
    /** The last event that the caller has, where a stream goes on. */
    readonly lastEventId: string | undefined;
    /** Ends the call and its work at the upstream. */
    readonly signal: AbortSignal;
}

/** Load that came with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** The head of an upstream's answer. */
export interface UpstreamAnswer {
    readonly status: number;
    /** Headers for the caller, as a flat list of names and values. */
    readonly headers: readonly string[];
    /** Whether the upstream vouches that the answer is its own. */
    readonly isSealed: boolean;
    /** The model's opinion of its answer, 0 to 100. */
    readonly confidence: number | undefined;
    readonly load: ReportedLoad | undefined;
    /**
     * Whether a whole body can be told from a part of it. An answer without a length ends with its connection, and one whose
     * upstream died looks the same; the router then must not say that the answer is whole.
     */
    readonly hasKnownEnd: boolean;
    readonly body: AsyncIterable<Buffer>;
}

/**
 * How a call failed.
 * - `not-sent`: no connection; nothing was sent.
 * - `refused`: the upstream says that it has not run the request.
 * - `replaced`: another upstream has the address, and has not run the request.
 * - `broken`: the request may have run.
 */
export type UpstreamFailureKind = "not-sent" | "refused" | "replaced" | "broken";

/** A failed call. */
export interface UpstreamCallFailure {
    readonly kind: UpstreamFailureKind;
    /** For logs. */
    readonly reason: string;
    readonly load?: ReportedLoad;
}

/** Calls upstreams. */
export interface UpstreamTransport {
    /**
     * Makes one call; never repeats it.
     * @param upstream - Whom to call.
     * @param call - What to send.
     */
    call(upstream: RegisteredUpstream, call: UpstreamCall): Promise<Result<UpstreamAnswer, UpstreamCallFailure>>;
    /** Opens new connections to an upstream from now on: one of the open ones fell silent, and others may be as dead. */
    renewConnections(upstream: RegisteredUpstream): void;
}

/** Tells whether a failed call certainly did not run and never will. */
export function isCertainlyNotRun(failure: UpstreamCallFailure): boolean {
    return failure.kind !== "broken";
}
