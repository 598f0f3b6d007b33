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
} as const satisfies Record<string, EventDefinition>;
