/**
 * Events of leases, orders and roll-outs of models. Numbers from 700.
 */
import { define } from "./eventDefinition.js";

/** Events of leases, orders and roll-outs of models. */
export const leaseEvents = {
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
};
