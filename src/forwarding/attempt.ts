/**
 * Attempts to have a request answered by one upstream.
 */
import type { CallOutcome, PromptDescription } from "../decisions/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { RunEnd } from "../quarantine/index.js";
import type { Exchange } from "./exchange.js";
import type { WatchedHead } from "./headWatch.js";
import type { UpstreamAnswer, UpstreamCallFailure } from "./upstreamCall.js";

/** An attempt that starts. */
export interface StartedAttempt {
    readonly exchange: Exchange;
    readonly upstream: RegisteredUpstream;
    readonly model: string | undefined;
    /** Whether the upstream is warming up. Its pace then says nothing about a warm one. */
    readonly isWarmingUp: boolean;
    /** Expected requests at the upstream, as a share of its slots. */
    readonly load: number;
}

/** An attempt that has ended. */
export interface EndedAttempt {
    readonly exchange: Exchange;
    readonly upstream: RegisteredUpstream;
    readonly model: string | undefined;
    readonly outcome: CallOutcome;
    /** Time from sending the request to the head of the answer. Undefined when no head arrived. */
    readonly headMilliseconds: number | undefined;
    /** Whether this node ended it while the upstream was at work and no head had arrived. */
    readonly isGivenUp: boolean;
}

/** Observes one attempt. */
export interface AttemptObserver {
    /** Called when the head of a successful answer arrives. */
    readonly onHead: () => void;
    /** Called with usual pauses between the parts of an answer, in milliseconds. */
    readonly onPause: (milliseconds: number) => void;
    /** Called once when the attempt has ended. */
    readonly onEnd: (attempt: EndedAttempt) => void;
}

/** Parameters of one attempt. */
export interface AttemptRequest {
    readonly exchange: Exchange;
    readonly model: string | undefined;
    readonly lastEventId: string | undefined;
    /** Undefined for plain services. */
    readonly prompt: PromptDescription | undefined;
    /**
     * Starts to watch the head of the answer as the attempt is sent.
     * @param expectedMilliseconds - Expected time to the head of the answer.
     */
    readonly watchHead: (expectedMilliseconds: number) => WatchedHead;
    /** Called when the request is written to a connection. It may wait for one before. */
    readonly onSent?: (() => void) | undefined;
    /** Ends the attempt, or keeps it from being made, before its answer has started. Without it, only the end of the request does. */
    readonly withdrawal?: AbortSignal | undefined;
    /** Returns whether the attempt may go on beside the next one when it is overdue. Without it, it always may. */
    readonly mayBeKept?: (() => boolean) | undefined;
    /**
     * Returns the retries that a further attempt leaves to more urgent requests.
     * @param allowed - Retries that the pool's budget allows in its window.
     */
    readonly getRetryReserve: (allowed: number) => number;
    /** Returns whether the attempt may wait for room. One that replaces an answer at hand must not make it late. */
    readonly mayWait: () => boolean;
    /**
     * The only upstream that is asked, although it was asked before: it has ended its part of the answer without saying that the answer
     * is whole. It counts no further time among the upstreams to which the request may be sent.
     */
    readonly only?: RegisteredUpstream | undefined;
}

/**
 * Why no attempt was made. `nobody` means that no untried upstream was available, `limited` that those available get nothing more
 * from this node now, `unreachable` that no node reaches the pool, `quarantined` that the request crashes the upstreams that run it,
 * `no-room` that its pool is full and it could not be answered in time.
 */
export type NotMadeReason =
    | "nobody"
    | "limited"
    | "unreachable"
    | "budget"
    | "attempts"
    | "ended"
    | "quarantined"
    | "no-room";

/** An attempt that failed or was not made. */
export type AttemptFailure =
    | {
        readonly kind: "not-made";
        readonly reason: NotMadeReason;
        /** Time after which an attempt may be made, in milliseconds, where it is known. */
        readonly retryAfterMilliseconds?: number | undefined;
    }
    | { readonly kind: "failed"; readonly failure: UpstreamCallFailure; };

/** An attempt whose answer has started. */
export interface Attempt {
    readonly upstream: RegisteredUpstream;
    readonly answer: UpstreamAnswer;
    /** Ends the attempt and records its outcome. Later calls are ignored. */
    readonly finish: (outcome: CallOutcome, reason: string, end: RunEnd) => void;
    /** Ends the attempt, whose answer is read no further as a better one replaces it. It was no failure. */
    readonly drop: (reason: string) => void;
    /** Records that a part of the answer has arrived. */
    readonly markSeen: () => void;
    /** Records that the upstream has sent nothing for a while. */
    readonly markSilent: () => void;
    /**
     * Returns whether an answer that has ended in order, without a framing, is whole: its upstream has outlived that end, and is not one
     * that has started anew since. Otherwise the end may be that of a killed process, whose connections end in order as well.
     */
    readonly confirmEnd: () => Promise<boolean>;
    /** Returns whether the upstream has crashed as far as this node can tell: nothing listens at its address any more. */
    readonly hasUpstreamCrashed: () => Promise<boolean>;
    /** Cancels the call at the upstream. */
    readonly cancel: () => void;
}
