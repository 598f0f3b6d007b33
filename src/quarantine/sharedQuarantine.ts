/**
 * Connects a node's quarantine with those of the other nodes.
 */
import type { Clock } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { Gossip } from "../membership/index.js";
import { type CrashRecord, decodeCrashRecords, encodeCrashRecords } from "./crashRecord.js";
import { Quarantine } from "./quarantine.js";

/** Gossip key of a node's records of requests that crash upstreams. */
const quarantineKey = "quarantine";

/** Options of a shared quarantine. */
export interface SharedQuarantineOptions {
    /** Identifier of this node. */
    readonly self: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly gossip: Pick<Gossip, "onUpdate" | "set">;
    /** Returns the identifiers of the nodes that are alive, including this one. */
    readonly getMembers: () => Iterable<string>;
    /** Stores this node's records outside of the nodes. Resolves to whether that succeeded. */
    readonly store: (records: readonly CrashRecord[]) => Promise<boolean>;
}

/** Creates a quarantine that exchanges its records with the other nodes by gossip. */
export function createSharedQuarantine(options: SharedQuarantineOptions): Quarantine {
    const { self, clock, journal, gossip, getMembers, store } = options;
    const quarantine = new Quarantine({
        clock,
        journal,
        publish: (records, { urgent }) => gossip.set(quarantineKey, encodeCrashRecords(records), { urgent }),
        store,
        isTrialNode: fingerprint => findHighestRanked(fingerprint, getMembers()) === self,
    });
    gossip.onUpdate((origin, key, value) => {
        if (key === quarantineKey && value !== undefined) {
            mergeEncodedRecords(quarantine, journal, { source: origin, value });
        }
    });
    return quarantine;
}

/** Records of another node as they were received. */
export interface EncodedRecords {
    /** Where they came from, for log lines. */
    readonly source: string;
    readonly value: Buffer;
}

/** Merges records that were received. Records that cannot be read are logged and ignored. */
export function mergeEncodedRecords(quarantine: Quarantine, journal: Journal, encoded: EncodedRecords): void {
    decodeCrashRecords(encoded.value).match(
        records => quarantine.merge(records),
        failure => journal.write(events.recordUnreadable, { key: encoded.source, cause: String(failure.cause) }),
    );
}

/** Returns the member that all nodes choose for a fingerprint. */
function findHighestRanked(fingerprint: string, members: Iterable<string>): string | undefined {
    let highest: string | undefined;
    let highestRank = -1;
    for (const member of members) {
        const rank = getUnitRank(fingerprint, member);
        if (rank > highestRank) {
            highest = member;
            highestRank = rank;
        }
    }
    return highest;
}
