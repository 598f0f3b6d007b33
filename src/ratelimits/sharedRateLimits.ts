/**
 * Connects a node's knowledge of rate limits with that of the other nodes.
 */
import type { Clock, RandomSource } from "../common/index.js";
import { StatedRateLimit } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { Gossip, Membership } from "../membership/index.js";
import { RateLimits } from "./rateLimits.js";
import { decodeRateRecords, encodeRateRecords } from "./rateRecord.js";

/** Gossip key of the changes that a node has found. */
const rateLimitsKey = "rate-limits";
/** Time in which a node that has just started learns of the others. */
const settlingMilliseconds = 5_000;

/** Options of shared rate limits. */
export interface SharedRateLimitsOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly gossip: Pick<Gossip, "onUpdate" | "set">;
}

/** Creates rate limits that are exchanged with the other nodes by gossip. */
export function createSharedRateLimits({ clock, journal, gossip }: SharedRateLimitsOptions): RateLimits {
    const rateLimits = new RateLimits({
        clock,
        journal,
        // Not urgent: each node that uses an upstream is told by the first answer itself.
        publish: records => gossip.set(rateLimitsKey, encodeRateRecords(records)),
    });
    gossip.onUpdate((origin, key, value) => {
        if (key === rateLimitsKey && value !== undefined) {
            decodeRateRecords(value).match(
                records => rateLimits.merge(records),
                failure => journal.write(events.recordUnreadable, { key: origin, cause: String(failure.cause) }),
            );
        }
    });
    return rateLimits;
}

/** Options of the limit of requests to upstreams that state one. */
export interface RateShareOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Identifier of this node. */
    readonly self: string;
    readonly membership: Membership;
    readonly rateLimits: RateLimits;
}

/** Creates the limit of requests to upstreams that state one, of which few nodes hold shares. */
export function createRateShares({ clock, random, self, membership, rateLimits }: RateShareOptions): StatedRateLimit {
    const settledAt = clock.monotonic() + settlingMilliseconds;
    return new StatedRateLimit({
        clock,
        random,
        self,
        rates: rateLimits,
        getNodes: () => membership.getPossiblySending(),
        // A node that starts again reads the list of all nodes before it serves. One that is alone waits for others.
        mayHold: () => clock.monotonic() > settledAt || membership.getMembers().length > 1,
    });
}
