/**
 * What a request asks of admission, and what it gets.
 */

/** A request that wants to be let in. */
export interface AdmissionRequest {
    readonly workspace: string;
    /** Weight of the workspace beside the others; greater than 0. */
    readonly share: number;
    /** 0 is most urgent. */
    readonly priority: number;
    /** Milliseconds that are left until the caller wants the first token. */
    readonly deadlineMilliseconds: number;
    /** Tokens to be read and written, by estimate. */
    readonly estimatedTokens: number;
    /** What tells a caller from others of the workspace, such as its idempotency key or address, where known. */
    readonly caller?: string;
    /** Whether the caller says that it was refused before. */
    readonly isRetry?: boolean;
    /** Ends the wait when the caller leaves. */
    readonly signal?: AbortSignal;
}

/** How admitted work ended. A `refused` one was turned down by the upstreams before they did anything. */
export type ReleaseOutcome = "ok" | "failed" | "refused" | "cancelled";

/** What is known of admitted work when it ends. */
export interface Release {
    readonly outcome: ReleaseOutcome;
    /** From admission to the first token; absent when none came. */
    readonly firstTokenMilliseconds?: number;
    /** Tokens that were really read and written. */
    readonly tokens: number;
}

/** Runs a function later and returns what cancels it. */
export type Schedule = (milliseconds: number, run: () => void) => () => void;
