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
    versionHeld: define(
        442,
        "version-held",
        "warning",
        "A version that was rolled out lately looks worse: this node gives most new callers the version before it.",
    ),
    versionReleased: define(443, "version-released", "info", "A version is held back no longer by this node."),
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
        "A published change was rejected, by a change that came first or because it is invalid.",
    ),
    configurationUnreadable: define(
        202,
        "configuration-unreadable",
        "error",
        "The configuration stream holds a record in a format newer than this program; the node keeps its configuration and must be upgraded.",
    ),
    configurationGap: define(
        203,
        "configuration-gap",
        "warning",
        "Configuration records expired before this node read them; it waits for a snapshot.",
    ),
    configurationRecovered: define(
        204,
        "configuration-recovered",
        "info",
        "The configuration was taken over from a snapshot in the log.",
    ),
    configurationIncomplete: define(
        205,
        "configuration-incomplete",
        "error",
        "No usable snapshot is in the configuration stream; the node keeps what it has and counts as not confirmed.",
    ),
    configurationOffered: define(
        206,
        "configuration-offered",
        "info",
        "A newer configuration was taken over from a peer.",
    ),
    configurationOfferRefused: define(
        207,
        "configuration-offer-refused",
        "warning",
        "A peer handed over a configuration that cannot be read.",
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
        "The log ends before the configuration that a peer handed over: it lost records, or the URL names another log.",
    ),
    logLost: define(
        210,
        "log-lost",
        "warning",
        "The log stopped answering; reading is tried again with growing pauses.",
    ),
    logRegained: define(211, "log-regained", "info", "The log answers again."),
    logGap: define(212, "log-gap", "warning", "Records of a stream expired before this node read them."),
    memberChanged: define(
        300,
        "member-changed",
        "info",
        "A member of the site is now alive, suspect, leaving or dead as seen from here.",
    ),
    memberForgotten: define(
        301,
        "member-forgotten",
        "info",
        "An entry that has left the VM list fell silent and was forgotten.",
    ),
    peerCallFailed: define(302, "peer-call-failed", "warning", "A call from a peer could not be answered."),
    claimsGap: define(
        600,
        "claims-gap",
        "warning",
        "Claims of a partition expired before this node had read them; it decides none until its state is whole again.",
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
        "The log did not confirm a record of claims; it is appended again under the same identifier.",
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
        "No other VM took a copy of bills; their answers wait for the log instead.",
    ),
    billsUnsafe: define(
        611,
        "bills-unsafe",
        "error",
        "An entry stops while bills are neither in the log nor with another VM.",
    ),
    billsTakenOver: define(
        612,
        "bills-taken-over",
        "info",
        "Bills of an entry that is gone or did not confirm them were appended by the VM that kept their copies.",
    ),
    billConflict: define(
        613,
        "bill-conflict",
        "warning",
        "A request has two bills of unlike totals; the first in the log counts.",
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
        "This process holds a lease; the fencing number goes with every order.",
    ),
    leaseLapsed: define(
        751,
        "lease-lapsed",
        "warning",
        "This process could not renew a lease in time and no longer holds it.",
    ),
    leaseLost: define(752, "lease-lost", "warning", "Another process took a lease that this one held."),
    orderRefused: define(
        753,
        "order-refused",
        "warning",
        "An engine refused an order because its fencing number is older than one it has seen.",
    ),
    orderNotReached: define(
        754,
        "order-not-reached",
        "warning",
        "An engine does not report what it was ordered to run.",
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
        "An engine says that it does not check fencing numbers, in a pool whose setting says that its engines do.",
    ),
    loadStalled: define(
        758,
        "load-stalled",
        "warning",
        "An engine did not load a version in time and is passed over for another one.",
    ),
    versionUnplaced: define(
        759,
        "version-unplaced",
        "error",
        "The runners of a pool have no room for a version that is to be loaded.",
    ),
    engineStrayed: define(
        760,
        "engine-strayed",
        "warning",
        "An engine left the state that it was ordered into: it restarted, or obeyed somebody else. It is ordered again.",
    ),
    billsLeftBehind: define(
        410,
        "bills-left-behind",
        "error",
        "A process stopped before the log took its last bills; their copies on other VMs will be appended.",
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
        "Renewed certificates cannot be read; the old ones stay in use.",
    ),
    topicLost: define(
        220,
        "topic-lost",
        "warning",
        "A topic of the store could not be read; the belief of it ages until it can.",
    ),
    topicRegained: define(221, "topic-regained", "info", "A topic of the store can be read again."),
    routesInForce: define(222, "routes-in-force", "info", "A version of the route table is in force on this node."),
    recordUnreadable: define(
        223,
        "record-unreadable",
        "warning",
        "A record of the store cannot be read and is passed over; the others hold.",
    ),
    upstreamRegistered: define(
        420,
        "upstream-registered",
        "info",
        "An upstream registered itself, changed its entry, or its entry is gone.",
    ),
    requestRouted: define(
        421,
        "request-routed",
        "info",
        "A request was matched with a route, a workspace and a pool, by a configuration of the given version and age.",
    ),
    attemptEnded: define(
        422,
        "attempt-ended",
        "info",
        "A request was sent to an upstream, with what decided for it, and how that ended.",
    ),
    requestEnded: define(423, "request-ended", "info", "A request has its final answer, or its caller left."),
    rolloutOrdered: define(444, "rollout-ordered", "info", "The operator ordered a pool to be moved to a version."),
    rolloutProgressed: define(
        445,
        "rollout-progressed",
        "info",
        "A pool's roll-out took a step: another share, completed, or reverted.",
    ),
    rolloutHalted: define(
        446,
        "rollout-halted",
        "warning",
        "A pool's new version was found bad; this node sends it nothing more.",
    ),
    rolloutWriteFailed: define(
        447,
        "rollout-write-failed",
        "warning",
        "A step of a roll-out, or which sessions are pinned, could not be written to the store; it is tried again.",
    ),
    settingsReloaded: define(105, "settings-reloaded", "info", "A changed settings file is in force."),
    settingsRefused: define(
        106,
        "settings-refused",
        "error",
        "A changed settings file has mistakes; the settings before it stay in force.",
    ),
    compiledCodeRefused: define(
        107,
        "compiled-code-refused",
        "warning",
        "The kept compiled code does not fit this release or its flags; starts take twice as long until it is built anew.",
    ),
    linesLeftOut: define(110, "lines-left-out", "warning", "So many log lines were left out to bound the volume."),
} as const satisfies Record<string, EventDefinition>;
