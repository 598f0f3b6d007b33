/**
 * The catalogue of events. A number never changes its meaning; docs/EVENTS.md lists them, and a test compares
 * the two. Ranges: 100 process, 200 configuration, 300 membership, 400 requests, 500 decisions, 600 claims and
 * bills, 700 leases and roll-outs, 800 operators' commands and tools, 900 stand-ins.
 */

/** How urgent an event is for an operator. */
export type EventLevel = "info" | "warning" | "error";

/** One entry of the catalogue. */
export interface EventDefinition {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    /** One sentence for docs/EVENTS.md. */
    readonly description: string;
}

function define(number: number, name: string, level: EventLevel, description: string): EventDefinition {
    return { number, name, level, description };
}

/** Every event that a rattanlock process can write. */
export const events = {
    processStarted: define(100, "process-started", "info", "A process listens and is ready for work."),
    processStopping: define(101, "process-stopping", "info", "A process was told to stop and finishes its work."),
    processStopped: define(102, "process-stopped", "info", "A process finished its work and exits with code 0."),
    upstreamEjected: define(
        550,
        "upstream-ejected",
        "warning",
        "An upstream failed or was far too slow and gets nothing new for a while.",
    ),
    admissionLimitLowered: define(
        560,
        "admission-limit-lowered",
        "warning",
        "Answers slowed down or failed, so fewer requests are let in at a time.",
    ),
    admissionLimitRestored: define(
        561,
        "admission-limit-restored",
        "info",
        "The limit of requests at a time is back at the upstreams' capacity.",
    ),
    requestPlanned: define(
        400,
        "request-planned",
        "info",
        "A request got its plan: a version, or a cascade of versions.",
    ),
    requestDispatched: define(401, "request-dispatched", "info", "A request goes to an upstream."),
    requestBilled: define(402, "request-billed", "info", "The bill of a request is kept by a second VM or the log."),
    requestAnswered: define(403, "request-answered", "info", "A caller has its whole answer."),
    requestRefused: define(404, "request-refused", "info", "A caller got a refusal, with its outcome."),
    requestCrashed: define(405, "request-crashed", "error", "A request met a programming mistake in the entry."),
    streamResumed: define(406, "stream-resumed", "info", "A caller took up a broken stream at this entry."),
    versionMismatch: define(
        407,
        "version-mismatch",
        "warning",
        "An engine ran another version than it was asked for; its answer was thrown away.",
    ),
    claimHeldElsewhere: define(408, "claim-held-elsewhere", "info", "An idempotency key belongs to another request."),
    upstreamLeaving: define(409, "upstream-leaving", "info", "An upstream announced that it is leaving."),
    rolloutMoved: define(
        440,
        "rollout-moved",
        "info",
        "The holder of the roll-out lease advanced, granted or finished.",
    ),
    versionHalted: define(441, "version-halted", "warning", "A version is halted: it takes no new work."),
} as const satisfies Record<string, EventDefinition>;
