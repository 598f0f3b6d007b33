/**
 * Events of requests, of the upstreams that run them, and of the versions that serve them. Numbers from 400.
 */
import { define } from "./eventDefinition.js";

/** Events of requests, of the upstreams that run them, and of the versions that serve them. */
export const requestEvents = {
    requestPlanned: define(
        400,
        "request-planned",
        "info",
        "A plan was chosen for a request: a version, or a cascade of versions.",
    ),
    requestDispatched: define(401, "request-dispatched", "info", "A request is sent to an upstream."),
    requestBilled: define(
        402,
        "request-billed",
        "info",
        "The bill of a request is stored on a second VM or in the log.",
    ),
    requestAnswered: define(403, "request-answered", "info", "A caller received its complete answer."),
    requestRefused: define(404, "request-refused", "info", "A request was refused, with the given outcome."),
    requestCrashed: define(405, "request-crashed", "error", "A request failed because of a bug in the entry."),
    streamResumed: define(406, "stream-resumed", "info", "A caller resumed an interrupted stream at this entry."),
    versionMismatch: define(
        407,
        "version-mismatch",
        "warning",
        "An engine ran a different version than requested; its answer was discarded.",
    ),
    claimHeldElsewhere: define(408, "claim-held-elsewhere", "info", "An idempotency key belongs to another request."),
    upstreamLeaving: define(
        409,
        "upstream-leaving",
        "info",
        "An upstream announced that it is leaving the site; it gets no more requests.",
    ),
    billsLeftBehind: define(
        410,
        "bills-left-behind",
        "error",
        "A process stopped before its last bills were appended to the log; the copies on other VMs will be appended.",
    ),
    upstreamRegistered: define(
        420,
        "upstream-registered",
        "info",
        "An upstream registered itself or changed its record, or its record was removed.",
    ),
    requestRouted: define(
        421,
        "request-routed",
        "info",
        "A request was matched with a route, a workspace and a pool, using a configuration of the given version and age.",
    ),
    attemptEnded: define(
        422,
        "attempt-ended",
        "info",
        "An attempt at an upstream ended; the fields give the reasons for choosing the upstream and the result.",
    ),
    requestEnded: define(
        423,
        "request-ended",
        "info",
        "A request received its final answer, or its caller disconnected.",
    ),
    upstreamCrashed: define(
        424,
        "upstream-crashed",
        "warning",
        "An upstream cut off a request and no longer accepts connections; the fields say how far the request had come, and name the parts of its prompt.",
    ),
    requestQuarantined: define(
        425,
        "request-quarantined",
        "warning",
        "A request, or a part of prompts, crashed the upstreams that ran it, so no node sends it to an upstream until the given time.",
    ),
    quarantineLifted: define(
        426,
        "quarantine-lifted",
        "info",
        "A quarantined request, or one with a quarantined part, ran without crashing its upstream; nodes send it to upstreams again.",
    ),
    quarantineWriteFailed: define(
        427,
        "quarantine-write-failed",
        "warning",
        "The store did not confirm what this node has quarantined; the write is repeated.",
    ),
    quarantineLearned: define(
        428,
        "quarantine-learned",
        "info",
        "Another node has quarantined a request or a part of prompts; this node sends it to no upstream either.",
    ),
    evacuationStarted: define(
        429,
        "evacuation-started",
        "warning",
        "The operator evacuated a failure domain: this node sends its upstreams no more requests.",
    ),
    evacuationEnded: define(
        430,
        "evacuation-ended",
        "info",
        "The evacuation of a failure domain ended. Its upstreams are presumed to warm up.",
    ),
    upstreamLimited: define(
        431,
        "upstream-limited",
        "warning",
        "An upstream states that it takes only the given number of requests a second from all nodes together.",
    ),
    upstreamUnlimited: define(432, "upstream-unlimited", "info", "An upstream no longer states a limit of requests."),
    upstreamResting: define(
        433,
        "upstream-resting",
        "warning",
        "An upstream that rejected a request asks this node to send it nothing for the given time.",
    ),
    restUnreadable: define(
        434,
        "rest-unreadable",
        "warning",
        "An upstream that rejected a request asks for rest with a value that cannot be read; it is ignored.",
    ),
    rolloutMoved: define(
        440,
        "rollout-moved",
        "info",
        "The holder of the roll-out lease advanced or finished a roll-out, or granted exposure.",
    ),
    versionHalted: define(441, "version-halted", "warning", "A version is halted: it gets no new work."),
    versionHeld: define(
        442,
        "version-held",
        "warning",
        "A recently rolled out version appears to be worse: this node sends most new callers to the previous version.",
    ),
    versionReleased: define(443, "version-released", "info", "A version is no longer held back by this node."),
    rolloutOrdered: define(444, "rollout-ordered", "info", "The operator ordered the roll-out of a version to a pool."),
    rolloutProgressed: define(
        445,
        "rollout-progressed",
        "info",
        "The roll-out of a pool progressed: its share changed, or it was completed or reverted.",
    ),
    rolloutHalted: define(
        446,
        "rollout-halted",
        "warning",
        "The new version of a pool was evaluated as bad; this node sends it no more requests.",
    ),
    rolloutWriteFailed: define(
        447,
        "rollout-write-failed",
        "warning",
        "A step of a roll-out, or the set of pinned sessions, could not be written to the store; the write is retried.",
    ),
    loadUnreadable: define(
        460,
        "load-unreadable",
        "warning",
        "An upstream reports its load with a value that cannot be read; it is ignored, and the rest of the answer is not.",
    ),
    slowCallerDropped: define(
        461,
        "slow-caller-dropped",
        "warning",
        "A caller read its answer too slowly: what waited for it exceeded a bound, so its connection was reset and its run cancelled.",
    ),
};
