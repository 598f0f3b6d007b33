/**
 * Connects a node's knowledge of rate limits with that of the other nodes.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { Gossip } from "../membership/index.js";
import { RateLimits } from "./rateLimits.js";
import { decodeRateRecords, encodeRateRecords } from "./rateRecord.js";

/** Gossip key of the changes that a node has found. */
const rateLimitsKey = "rate-limits";

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
