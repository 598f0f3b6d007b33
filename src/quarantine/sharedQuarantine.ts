/**
 * Connects a node's quarantine with those of the other nodes.
 */
import type { Clock } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { Gossip } from "../membership/index.js";
import { type CrashRecord, decodeCrashRecords, encodeCrashRecords } from "./crashRecord.js";
import { Quarantine } from "./quarantine.js";
import type { SuspicionPolicy } from "./suspicion.js";

/** Gossip keys of a node's records, by the kind of subject. */
const gossipKeys: Readonly<Record<SuspicionPolicy["subject"], string>> = {
    request: "quarantine",
    part: "quarantine-parts",
};

/** Options of a shared quarantine. */
export interface SharedQuarantineOptions {
    /** Identifier of this node. */
    readonly self: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly policy: SuspicionPolicy;
    readonly gossip: Pick<Gossip, "onUpdate" | "set">;
    /** Returns the identifiers of the nodes that are alive, including this one. */
    readonly getMembers: () => Iterable<string>;
    /** Stores this node's records outside of the nodes. Resolves to whether that succeeded. */
    readonly store: (records: readonly CrashRecord[]) => Promise<boolean>;
    /** Called when this node learns that a subject is quarantined. */
    readonly onQuarantined?: () => void;
}

/** Creates a quarantine that exchanges its records with the other nodes by gossip. */
export function createSharedQuarantine(options: SharedQuarantineOptions): Quarantine {
    const { self, clock, journal, policy, gossip, getMembers, store, onQuarantined = () => {} } = options;
    const gossipKey = gossipKeys[policy.subject];
    const quarantine = new Quarantine({
        clock,
        journal,
        policy,
        publish: (records, { urgent }) => gossip.set(gossipKey, encodeCrashRecords(records), { urgent }),
        store,
        onQuarantined,
        getTrialRank: fingerprint => getRank(fingerprint, self, getMembers()),
    });
    gossip.onUpdate((origin, key, value) => {
        if (key === gossipKey && value !== undefined) {
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

/** Returns the place of a member in the order in which all nodes put the members for a fingerprint. */
function getRank(fingerprint: string, self: string, members: Iterable<string>): number {
    const ownRank = getUnitRank(fingerprint, self);
    let place = 0;
    for (const member of members) {
        if (member !== self && getUnitRank(fingerprint, member) > ownRank) {
            place += 1;
        }
    }
    return place;
}
