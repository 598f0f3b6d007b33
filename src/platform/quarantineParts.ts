/**
 * Connects a node's quarantine with the other nodes and with the store.
 */
import { getUnitRank } from "../decisions/index.js";
import { events } from "../events/index.js";
import { CrashWatch } from "../forwarding/index.js";
import { type CrashRecord, decodeCrashRecords, encodeCrashRecords, Quarantine } from "../quarantine/index.js";
import type { NodeParts } from "./nodeParts.js";

/** Gossip key of a node's records of requests that crash upstreams. */
const quarantineKey = "quarantine";

/** Creates the quarantine. Other nodes' records come by gossip, and after a restart or a partition from the store. */
export function createQuarantine({ clock, journal, gossip, writer, membership, self }: NodeParts): Quarantine {
    const quarantine = new Quarantine({
        clock,
        journal,
        publish: (records, options) => gossip.set(quarantineKey, encodeCrashRecords(records), options),
        store: records => writer.writeQuarantine(records),
        isTrialNode: fingerprint => findHighestRanked(fingerprint, membership.getAlive()) === self.id,
    });
    const mergeFromPeer = (origin: string, records: readonly CrashRecord[]): void => {
        quarantine.merge(records);
        journal.write(events.crashRecordsReceived, { origin, records: records.length });
    };
    gossip.onUpdate((origin, key, value) => {
        if (key === quarantineKey && value !== undefined) {
            decodeCrashRecords(value).match(
                records => mergeFromPeer(origin, records),
                failure => journal.write(events.recordUnreadable, { key, cause: String(failure.cause) }),
            );
        }
    });
    return quarantine;
}

/** Returns the member that all nodes choose for a fingerprint. */
function findHighestRanked(fingerprint: string, members: readonly { readonly id: string; }[]): string | undefined {
    let highest: string | undefined;
    let highestRank = -1;
    for (const { id } of members) {
        const rank = getUnitRank(fingerprint, id);
        if (rank > highestRank) {
            highest = id;
            highestRank = rank;
        }
    }
    return highest;
}

/** Creates the watch that reports crashes to the quarantine. */
export function createCrashWatch({ clock, journal, quarantine, upstreamClient }: NodeParts): CrashWatch {
    return new CrashWatch({
        clock,
        journal,
        quarantine,
        isRefusingConnections: upstream => upstreamClient.isRefusingConnections(upstream),
    });
}
