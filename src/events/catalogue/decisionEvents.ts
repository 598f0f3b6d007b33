/**
 * Events of decisions. Numbers from 500.
 */
import { define } from "./eventDefinition.js";

/** Events of decisions. */
export const decisionEvents = {
    upstreamEjected: define(
        550,
        "upstream-ejected",
        "warning",
        "An upstream failed or was far too slow and temporarily gets no new requests.",
    ),
    poolUnreachable: define(
        551,
        "pool-unreachable",
        "warning",
        "This node can connect to no upstream of a pool.",
    ),
    poolReachable: define(552, "pool-reachable", "info", "This node can connect to upstreams of a pool again."),
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
    paceChanged: define(
        570,
        "pace-changed",
        "info",
        "An upstream takes clearly more or less time for the same work than its pool, or no longer does.",
    ),
    paceDigestUnreadable: define(
        571,
        "pace-digest-unreadable",
        "warning",
        "The paces of upstreams that another node has measured cannot be read and are ignored.",
    ),
};
