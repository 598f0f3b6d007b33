/**
 * Input and result of admission control.
 */

/** Represents a request for admission. */
export interface AdmissionRequest {
    readonly workspace: string;
    /** Weight of the workspace relative to others; greater than 0. */
    readonly share: number;
    /** Priority; 0 is the most urgent. */
    readonly priority: number;
    /** Milliseconds left until the caller's deadline for the first token. */
    readonly deadlineMilliseconds: number;
    /** Estimated number of prompt and completion tokens. */
    readonly estimatedTokens: number;
    /** Identifies a caller within the workspace, for example by its idempotency key or address, if known. */
    readonly caller?: string;
    /** Whether the caller declares that the request was refused before. */
    readonly isRetry?: boolean;
    /** Aborts the wait when the caller disconnects. */
    readonly signal?: AbortSignal;
}

/** Outcome of an admitted request. `refused` means that the upstreams rejected it before they did any work. */
export type ReleaseOutcome = "ok" | "failed" | "refused" | "cancelled";

/** Result of an admitted request, passed when its slot is released. */
export interface Release {
    readonly outcome: ReleaseOutcome;
    /** Time from admission to the first token; absent when there was none. */
    readonly firstTokenMilliseconds?: number;
    /** Actual number of prompt and completion tokens. */
    readonly tokens: number;
}

/** Schedules a function and returns a callback that cancels it. */
export type Schedule = (milliseconds: number, run: () => void) => () => void;
