/**
 * Defines the catalogue of events. The meaning of a number never changes. docs/EVENTS.md lists the events, and a test
 * compares it with the catalogue. Ranges: 100 process, 200 configuration, 300 membership, 400 requests, 500 decisions,
 * 600 claims and bills, 700 leases and roll-outs, 800 operators' commands and tools, 900 stand-ins.
 */

/** Represents the severity of an event for an operator. */
export type EventLevel = "info" | "warning" | "error";

/** Represents the definition of an event. */
export interface EventDefinition {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    /** The description for docs/EVENTS.md. */
    readonly description: string;
}

function define(number: number, name: string, level: EventLevel, description: string): EventDefinition {
    return { number, name, level, description };
}

/** The events that rattanlock processes can write. */
export const events = {
    processStarted: define(100, "process-started", "info", "A process listens and is ready to accept work."),
    processStopping: define(
        101,
        "process-stopping",
        "info",
        "A process was requested to stop and finishes the work in flight.",
    ),
    processStopped: define(
        102,
        "process-stopped",
        "info",
        "A process finished the work in flight and exits with code 0.",
    ),
    upstreamEjected: define(
        550,
        "upstream-ejected",
        "warning",
        "An upstream failed or was far too slow and temporarily gets no new requests.",
    ),
    admissionLimitLowered: define(
        560,
        "admission-limit-lowered",
        "warning",
        "Answers slowed down or failed, so the limit of concurrent requests was lowered.",
    ),
    admissionLimitRestored: define(
        561,
        "admission-limit-restored",
        "info",
        "The limit of concurrent requests is restored to the capacity of the upstreams.",
    ),
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
    upstreamLeaving: define(409, "upstream-leaving", "info", "An upstream announced that it is leaving the site."),
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
    configurationAccepted: define(
        200,
        "configuration-accepted",
        "info",
        "A published change was accepted and is in force on this node.",
    ),
    configurationRejected: define(
        201,
        "configuration-rejected",
        "warning",
        "A published change was rejected, because an earlier change supersedes it or because it is invalid.",
    ),
    configurationUnreadable: define(
        202,
        "configuration-unreadable",
        "error",
        "The configuration stream contains a record in a newer format than this release supports; the node keeps its configuration and must be upgraded.",
    ),
    configurationGap: define(
        203,
        "configuration-gap",
        "warning",
        "Configuration records expired before this node read them; the node waits for a snapshot.",
    ),
    configurationRecovered: define(
        204,
        "configuration-recovered",
        "info",
        "The configuration was restored from a snapshot in the log.",
    ),
    configurationIncomplete: define(
        205,
        "configuration-incomplete",
        "error",
        "The configuration stream contains no usable snapshot; the node keeps its configuration, which counts as not confirmed.",
    ),
    configurationOffered: define(
        206,
        "configuration-offered",
        "info",
        "A newer configuration was adopted from a peer.",
    ),
    configurationOfferRefused: define(
        207,
        "configuration-offer-refused",
        "warning",
        "A peer sent a configuration that cannot be read.",
    ),
    configurationSnapshotWritten: define(
        208,
        "configuration-snapshot-written",
        "info",
        "A snapshot of the configuration was appended to the log.",
    ),
    configurationSnapshotFailed: define(
        209,
        "configuration-snapshot-failed",
        "error",
        "A snapshot of the configuration could not be appended.",
    ),
    configurationAhead: define(
        213,
        "configuration-ahead",
        "error",
        "The log ends before the configuration that was adopted from a peer: the log lost records, or the URL names another log.",
    ),
    logLost: define(
        210,
        "log-lost",
        "warning",
        "The log stopped answering; reads are retried with backoff.",
    ),
    logRegained: define(211, "log-regained", "info", "The log answers again."),
    logGap: define(212, "log-gap", "warning", "Records of a stream expired before this node read them."),
    memberChanged: define(
        300,
        "member-changed",
        "info",
        "This node now considers a member of the site alive, suspect, leaving or dead.",
    ),
    memberForgotten: define(
        301,
        "member-forgotten",
        "info",
        "An entry that was removed from the VM list became unresponsive and was removed from the membership.",
    ),
    peerCallFailed: define(302, "peer-call-failed", "warning", "A call from a peer could not be answered."),
    claimsGap: define(
        600,
        "claims-gap",
        "warning",
        "Claims of a partition expired before this node read them; the node decides no claims of the partition until its state is complete again.",
    ),
    claimsRestored: define(
        601,
        "claims-restored",
        "info",
        "The state of a partition of claims was restored from a snapshot.",
    ),
    claimsAppendFailed: define(
        602,
        "claims-append-failed",
        "warning",
        "The log did not confirm a record of claims; the record is appended again with the same identifier.",
    ),
    claimAbandoned: define(
        603,
        "claim-abandoned",
        "warning",
        "A claim was not confirmed in time; the request was not dispatched and the claim is being released.",
    ),
    billsNotCopied: define(
        610,
        "bills-not-copied",
        "warning",
        "No other VM accepted a copy of the bills; their answers wait for the log instead.",
    ),
    billsUnsafe: define(
        611,
        "bills-unsafe",
        "error",
        "An entry stops while bills are neither in the log nor on another VM.",
    ),
    billsTakenOver: define(
        612,
        "bills-taken-over",
        "info",
        "Bills of an entry that departed or did not confirm them were appended by the VM that stores their copies.",
    ),
    billConflict: define(
        613,
        "bill-conflict",
        "warning",
        "A request has two bills with different totals; the first one in the log counts.",
    ),
    ledgerGap: define(
        614,
        "ledger-gap",
        "error",
        "Bills expired from the log before the ledger read them; they are missing from it.",
    ),
    leaseTaken: define(
        750,
        "lease-taken",
        "info",
        "This process acquired a lease; every order contains the fencing token.",
    ),
    leaseLapsed: define(
        751,
        "lease-lapsed",
        "warning",
        "This process could not renew a lease in time and no longer holds it.",
    ),
    leaseLost: define(752, "lease-lost", "warning", "Another process acquired a lease that this process held."),
    orderRefused: define(
        753,
        "order-refused",
        "warning",
        "An engine refused an order because its fencing token is older than one that the engine has seen.",
    ),
    orderNotReached: define(
        754,
        "order-not-reached",
        "warning",
        "An engine does not report the versions that it was ordered to run.",
    ),
    loadOrdered: define(755, "load-ordered", "info", "An engine was ordered to load a version."),
    rolloutWaits: define(
        756,
        "rollout-waits",
        "warning",
        "A roll-out waits until its candidate is loaded on enough runners.",
    ),
    fencingUnchecked: define(
        757,
        "fencing-unchecked",
        "warning",
        "An engine reports that it does not check fencing tokens, although the setting of its pool states that engines do.",
    ),
    loadStalled: define(
        758,
        "load-stalled",
        "warning",
        "An engine did not load a version in time; another engine is chosen instead.",
    ),
    versionUnplaced: define(
        759,
        "version-unplaced",
        "error",
        "The runners of a pool have no free memory for a version that is to be loaded.",
    ),
    engineStrayed: define(
        760,
        "engine-strayed",
        "warning",
        "An engine is no longer in the ordered state: it restarted, or followed orders from another process. The order is repeated.",
    ),
    billsLeftBehind: define(
        410,
        "bills-left-behind",
        "error",
        "A process stopped before its last bills were appended to the log; the copies on other VMs will be appended.",
    ),
    credentialsRenewed: define(
        103,
        "credentials-renewed",
        "info",
        "Renewed certificates are in use for new connections.",
    ),
    credentialsUnreadable: define(
        104,
        "credentials-unreadable",
        "warning",
        "Renewed certificates cannot be read; the previous ones stay in use.",
    ),
    topicLost: define(
        220,
        "topic-lost",
        "warning",
        "A topic of the store could not be read; the cached state becomes stale until it can be read again.",
    ),
    topicRegained: define(221, "topic-regained", "info", "A topic of the store can be read again."),
    routesInForce: define(222, "routes-in-force", "info", "A version of the route table is in force on this node."),
    recordUnreadable: define(
        223,
        "record-unreadable",
        "warning",
        "A record of the store cannot be read and is skipped; the others stay in force.",
    ),
    upstreamRegistered: define(
        420,
        "upstream-registered",
        "info",
        "An upstream registered itself or changed its record, or its record was removed.",
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
        "An upstream cut off a request and no longer accepts connections; the fields say how far the request had come.",
    ),
    requestQuarantined: define(
        425,
        "request-quarantined",
        "warning",
        "A request crashed the upstreams that ran it, so no node sends it to an upstream until the given time.",
    ),
    quarantineLifted: define(
        426,
        "quarantine-lifted",
        "info",
        "A quarantined request ran without crashing its upstream; nodes send it to upstreams again.",
    ),
    quarantineWriteFailed: define(
        427,
        "quarantine-write-failed",
        "warning",
        "The store did not confirm which requests this node has quarantined; the write is repeated.",
    ),
    quarantineLearned: define(
        428,
        "quarantine-learned",
        "info",
        "Another node has quarantined a request; this node sends it to no upstream either.",
    ),
    upstreamLimited: define(
        431,
        "upstream-limited",
        "warning",
        "An upstream states that it takes only the given number of requests a second from all nodes together.",
    ),
    upstreamUnlimited: define(432, "upstream-unlimited", "info", "An upstream no longer states a limit of requests."),
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
    settingsReloaded: define(105, "settings-reloaded", "info", "A changed settings file is in force."),
    settingsRefused: define(
        106,
        "settings-refused",
        "error",
        "A changed settings file contains errors; the previous settings stay in force.",
    ),
    compiledCodeRefused: define(
        107,
        "compiled-code-refused",
        "warning",
        "The cached compiled code does not match this release or its flags; starts take twice as long until it is rebuilt.",
    ),
    linesLeftOut: define(
        110,
        "lines-left-out",
        "warning",
        "The given number of log lines was dropped to bound the volume.",
    ),
} as const satisfies Record<string, EventDefinition>;
