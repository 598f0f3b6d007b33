/**
 * Events of the configuration, and of the log and the topics that it is read from. Numbers from 200.
 */
import { define } from "./eventDefinition.js";

/** Events of the configuration, and of the log and the topics that it is read from. */
export const configurationEvents = {
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
    logLost: define(
        210,
        "log-lost",
        "warning",
        "The log stopped answering; reads are retried with backoff.",
    ),
    logRegained: define(211, "log-regained", "info", "The log answers again."),
    logGap: define(212, "log-gap", "warning", "Records of a stream expired before this node read them."),
    configurationAhead: define(
        213,
        "configuration-ahead",
        "error",
        "The log ends before the configuration that was adopted from a peer: the log lost records, or the URL names another log.",
    ),
    topicLost: define(
        220,
        "topic-lost",
        "warning",
        "A topic of the store could not be read; the cached state becomes stale until it can be read again.",
    ),
    storeWentBack: define(
        224,
        "store-went-back",
        "warning",
        "The store came back from an older copy of itself; the topic goes on with the given era and offset.",
    ),
    recordRestored: define(
        225,
        "record-restored",
        "info",
        "This node wrote a record again that the store had lost; with a cause, the write failed and is repeated.",
    ),
    topicRegained: define(221, "topic-regained", "info", "A topic of the store can be read again."),
    routesInForce: define(222, "routes-in-force", "info", "A version of the route table is in force on this node."),
    recordUnreadable: define(
        223,
        "record-unreadable",
        "warning",
        "A record of the store cannot be read and is skipped; the others stay in force.",
    ),
};
