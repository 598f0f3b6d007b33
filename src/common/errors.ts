/**
 * Errors that cross module boundaries.
 *
 * Every expected failure is a value of one of these kinds inside a neverthrow `Result`; exceptions are reserved for
 * programming errors. The message says what happened and how to remedy it.
 */

/** What is known about whether an upstream executed a request. */
export type Outcome = "not-run" | "unknown" | "ran";

/** The kind of a failure. */
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
    | "too-large"
    | "quarantined";

/** Options of a failure. */
export interface FailureOptions {
    readonly kind: FailureKind;
    /** What happened, as a full sentence. */
    readonly message: string;
    /** What the reader should do, as a full sentence. */
    readonly remedy: string;
    /** Time after which a retry is worthwhile, in milliseconds from now. */
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

/** Represents a request without an answer from an upstream, with what is known about whether it ran. */
export interface Refusal {
    readonly failure: Failure;
    readonly outcome: Outcome;
}
