/**
 * The platform's names for headers, calls and topics. No other folder knows them.
 */

/** Headers of requests and answers, in lower case. */
export const headerNames = {
    requestId: "attempt-id",
    deadline: "deadline-ms",
    /** The prompt's parts, as `ID:TOKENS` in their order. */
    promptParts: "prompt-prefix",
    lastEventId: "last-event-id",
    /** The runner's proof that an answer is its own. */
    seal: "server-seal",
    workspace: "tenant",
    expectedRunner: "expect-instance",
    /** `RUNNING,WAITING,SLOTS`. */
    load: "server-load",
    notExecuted: "not-executed",
    retryAfter: "retry-after",
    model: "model",
    /** Prompt tokens and the most output tokens, as `IN,OUT`. */
    tokens: "token-count",
    urgency: "request-urgency",
    expectedWeights: "expect-version",
    pin: "pin-ms",
    hold: "hold",
    backup: "kv-backup",
    resumeFrom: "kv-from",
    fetchFrom: "kv-fetch",
    lengthHint: "length-hint",
    /** The model's own opinion of its answer, 0 to 100. */
    confidence: "confidence",
    apiKey: "api-key",
    session: "session",
} as const;

/** The model name with which a caller leaves the choice to the router. */
export const anyModel = "*";

/** Paths of the store's calls. */
export const storePaths = {
    append: "/v1/log-append",
    read: "/v1/log-read",
    newest: "/v1/log-newest",
} as const;

/** Paths that this system serves besides requests. */
export const servedPaths = {
    ready: "/v1/readyz",
    resolution: "/v1/resolution",
    metrics: "/metrics",
} as const;

/** Topics of the store. */
export const topics = {
    /** What the operator publishes. */
    operator: "keyed.op",
    /** What the upstreams register. */
    upstreams: "keyed.servers",
    /** What this system tells the operator, and keeps for itself. */
    status: "keyed.status",
} as const;

/** Keys of records. */
export const recordKeys = {
    configuration: "config",
    rolloutPrefix: "rollout/",
    /** How far a roll-out has come; only this system reads it. */
    progressPrefix: "progress/",
    /** Which sessions a node has pinned, by node and pool; only this system reads them. */
    pinsPrefix: "pins/",
    /** One record for each node; only this system reads them. */
    memberPrefix: "member/",
} as const;
