/**
 * Connects a node's quarantine with the other nodes and with the store.
 */
import { events } from "../events/index.js";
import { CrashWatch } from "../forwarding/index.js";
import { type CrashRecord, decodeCrashRecords, encodeCrashRecords, Quarantine } from "../quarantine/index.js";
import type { NodeParts } from "./nodeParts.js";

/** Gossip key of a node's records of requests that crash upstreams. */
const quarantineKey = "quarantine";

/** Creates the quarantine. Other nodes' records come by gossip, and after a restart or a partition from the store. */
export function createQuarantine({ clock, journal, gossip, writer }: NodeParts): Quarantine {
    const quarantine = new Quarantine({
        clock,
        journal,
        publish: (records, options) => gossip.set(quarantineKey, encodeCrashRecords(records), options),
        store: records => writer.writeQuarantine(records),
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

/** Creates the watch that reports crashes to the quarantine. */
export function createCrashWatch({ clock, journal, quarantine, upstreamClient }: NodeParts): CrashWatch {
    return new CrashWatch({
        clock,
        journal,
        quarantine,
        isRefusingConnections: upstream => upstreamClient.isRefusingConnections(upstream),
    });
}
