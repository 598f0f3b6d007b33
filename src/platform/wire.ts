/**
 * Names of headers, paths, topics and records on the platform's wire. No other folder uses them.
 */

/** Headers of requests and answers, in lower case. */
export const headerNames = {
    requestId: "attempt-id",
    deadline: "deadline-ms",
    /** The prompt's parts, as `ID:TOKENS` in their order. */
    promptParts: "prompt-prefix",
    lastEventId: "last-event-id",
    /** The runner's proof that it produced the answer itself. */
    seal: "server-seal",
    workspace: "tenant",
    expectedRunner: "expect-instance",
    /** The runner that answers, in some of its answers. */
    runner: "instance-id",
    /** `RUNNING,WAITING,SLOTS`, from some runners with the time that work takes there now, in percent of the usual. */
    load: "server-load",
    notExecuted: "not-executed",
    /** Requests a second that the runner takes from all nodes together. */
    rateLimit: "server-limit",
    /** Requests that the runner can turn away in a second without falling over. */
    rejectionLimit: "server-brittle",
    retryAfter: "retry-after",
    /** Whether the runner is about to leave. */
    leaving: "server-leaving",
    model: "model",
    /** Prompt tokens and maximum output tokens, as `IN,OUT`. */
    tokens: "token-count",
    urgency: "request-urgency",
    expectedWeights: "expect-version",
    pin: "pin-ms",
    hold: "hold",
    backup: "kv-backup",
    resumeFrom: "kv-from",
    fetchFrom: "kv-fetch",
    lengthHint: "length-hint",
    /** The model's own confidence in its answer, 0 to 100. */
    confidence: "confidence",
    apiKey: "api-key",
    session: "session",
    /** Rises each time the store comes back from an older copy of itself. In all its answers. */
    storeEra: "store-era",
} as const;

/** Model name with which a caller lets the router choose the model. */
export const anyModel = "*";

/** Paths of the store's API. */
export const storePaths = {
    append: "/v1/log-append",
    read: "/v1/log-read",
    newest: "/v1/log-newest",
} as const;

/** Paths that model runners serve besides callers' requests. */
export const runnerPaths = {
    /** What the runner says of itself, at once and without a slot. */
    report: "/v1/report",
} as const;

/** Paths that a node serves besides callers' requests. */
export const servedPaths = {
    ready: "/v1/readyz",
    resolution: "/v1/resolution",
    metrics: "/metrics",
} as const;

/** Topics of the store. */
export const topics = {
    /** Records that the operator publishes. */
    operator: "keyed.op",
    /** Records with which upstreams register. */
    upstreams: "keyed.servers",
    /** Records that the nodes write, for the operator and for each other. */
    status: "keyed.status",
} as const;

/** Keys of records. */
export const recordKeys = {
    configuration: "config",
    rolloutPrefix: "rollout/",
    /** One record for each failure domain that is evacuated. */
    evacuationPrefix: "evacuate/",
    /** Progress of a roll-out. Only the nodes read it. */
    progressPrefix: "progress/",
    /** Pinned sessions by node and pool. Only the nodes read them. */
    pinsPrefix: "pins/",
    /** Quarantined requests by node. Only the nodes read them. */
    quarantinePrefix: "quarantine/",
    /** Quarantined parts of prompts by node. Only the nodes read them. */
    partQuarantinePrefix: "quarantine-parts/",
    /** One record for each node. Only the nodes read them. */
    memberPrefix: "member/",
} as const;
