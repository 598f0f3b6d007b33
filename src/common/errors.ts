/**
 * The family of errors that cross module boundaries.
 *
 * Every expected failure is a value of one of these kinds inside a neverthrow `Result`; exceptions are left for
 * programming mistakes. The message says what happened and what to do about it.
 */

/** What is known about whether a request was executed by an upstream. */
export type Outcome = "not-run" | "unknown" | "ran";

/** Names each kind of failure. */
export type FailureKind =
    | "invalid-input"
    | "unauthorized"
    | "not-allowed"
    | "overloaded"
    | "deadline"
    | "unavailable"
    | "conflict"
    | "in-progress"
    | "gone"
    | "upstream-failed"
    | "stale"
    | "protocol"
    | "not-found"
    | "too-large";

/** Holds what a failure tells its reader. */
export interface FailureOptions {
    readonly kind: FailureKind;
    /** What happened, as a full sentence. */
    readonly message: string;
    /** What the reader should do, as a full sentence. */
    readonly remedy: string;
    /** When a retry is worthwhile, in milliseconds from now. */
    readonly retryAfterMilliseconds?: number;
    readonly cause?: unknown;
}

/** An expected failure with a kind and a remedy. */
export class Failure extends Error {
    readonly kind: FailureKind;
    readonly remedy: string;
    readonly retryAfterMilliseconds: number | undefined;

    constructor(options: FailureOptions) {
        super(`${options.message} ${options.remedy}`, { cause: options.cause });
        this.name = "Failure";
        this.kind = options.kind;
        this.remedy = options.remedy;
        this.retryAfterMilliseconds = options.retryAfterMilliseconds;
    }
}

/** A request that got no answer of an upstream, with what is known about whether it ran. */
export interface Refusal {
    readonly failure: Failure;
    readonly outcome: Outcome;
}
