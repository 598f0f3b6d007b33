/**
 * Represents refusals as problem documents (RFC 9457) that the `openai` client also understands.
 */
import type { Failure, FailureKind, Outcome, Refusal } from "../common/index.js";

export type { Refusal } from "../common/index.js";

/** Represents the body of a refusal. */
export interface ProblemDocument {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly outcome: Outcome;
    readonly remedy: string;
    readonly requestId: string;
    readonly retryAfterMilliseconds: number | undefined;
    /** The shape in which the `openai` client expects an error. */
    readonly error: { readonly message: string; readonly type: FailureKind; readonly code: string; };
}

interface ProblemDefinition {
    /** Number in the type of the problem. Its meaning never changes. */
    readonly number: number;
    readonly status: number;
    readonly title: string;
}

const problems: Readonly<Record<FailureKind, ProblemDefinition>> = {
    "invalid-input": { number: 1, status: 400, title: "The request is malformed" },
    "unauthorized": { number: 2, status: 401, title: "The API key is missing or unknown" },
    "not-allowed": { number: 3, status: 403, title: "The workspace does not allow this" },
    "overloaded": { number: 4, status: 429, title: "There is more work than capacity" },
    "deadline": { number: 5, status: 504, title: "The deadline cannot be met" },
    "unavailable": { number: 6, status: 503, title: "Something that is needed cannot be reached" },
    "conflict": { number: 7, status: 409, title: "Another request came first" },
    "in-progress": { number: 8, status: 409, title: "The same request is in progress or its outcome is unknown" },
    "gone": { number: 9, status: 410, title: "What the request refers to has ended" },
    "upstream-failed": { number: 10, status: 502, title: "The upstream failed" },
    "stale": { number: 11, status: 503, title: "The entry's configuration is too old" },
    "protocol": { number: 12, status: 502, title: "The upstream broke its protocol" },
    "not-found": { number: 13, status: 404, title: "No route leads there" },
    "too-large": { number: 14, status: 413, title: "The request is too large" },
    "quarantined": { number: 15, status: 503, title: "The request crashes the upstreams that run it" },
};

/**
 * Creates the problem document of a refusal.
 * @param refusal - The refusal.
 * @param requestId - Identifies the request.
 */
export function createProblem(refusal: Refusal, requestId: string): ProblemDocument {
    const { failure, outcome } = refusal;
    const definition = problems[failure.kind];
    return {
        type: `urn:rattanlock:problem:${definition.number}`,
        title: definition.title,
        status: definition.status,
        detail: failure.message,
        outcome,
        remedy: failure.remedy,
        requestId,
        retryAfterMilliseconds: failure.retryAfterMilliseconds,
        error: { message: failure.message, type: failure.kind, code: outcome },
    };
}

/**
 * Returns the headers of a refusal.
 * @param problem - The document.
 */
export function getProblemHeaders(problem: ProblemDocument): Readonly<Record<string, string>> {
    const headers: Record<string, string> = {
        "content-type": "application/problem+json",
        "x-rattanlock-outcome": problem.outcome,
        // The public client retries 409, 429 and 5xx on its own. It may do so only if nothing ran.
        "x-should-retry": problem.outcome === "not-run" && problem.retryAfterMilliseconds !== undefined
            ? "true"
            : "false",
    };
    if (problem.retryAfterMilliseconds !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(problem.retryAfterMilliseconds / 1000)));
        headers["retry-after-ms"] = String(Math.ceil(problem.retryAfterMilliseconds));
    }
    return headers;
}

/** Creates a refusal of a request that was not sent to any upstream. */
export function createNotRunRefusal(failure: Failure): Refusal {
    return { failure, outcome: "not-run" };
}
