/**
 * What roll-outs are handled with.
 */
import type { Clock } from "../common/index.js";
import type { Journal } from "../events/index.js";
import type { UpstreamRegistry } from "../fleet/index.js";
import type { PeerReport } from "./peerReports.js";
import type { PinReport } from "./pinnedSessions.js";
import type { RolloutOrder, RolloutProgress } from "./rollout.js";

/** What roll-outs are handled with. */
export interface RolloutsOptions {
    /** This node. */
    readonly self: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly registry: UpstreamRegistry;
    readonly exposureShare: number;
    readonly sessionMilliseconds: number;
    /** Returns how many nodes rank before this one. */
    readonly getRank: () => number;
    /** Returns how many nodes may be at work. */
    readonly getMemberCount: () => number;
    /** Tells the other nodes this node's evidence on a pool's roll-out. */
    readonly publishEvidence: (pool: string, value: Buffer) => void;
    /** Returns the evidence of the other nodes. */
    readonly getEvidence: (pool: string) => Iterable<PeerReport>;
    /** Tells all nodes at once that a pool's roll-out was found bad. */
    readonly publishHalt: (pool: string, order: number) => void;
    /** Writes a step, if nobody else has written; resolves when that has succeeded or failed. */
    readonly writeProgress: (order: RolloutOrder, progress: RolloutProgress) => Promise<void>;
    /** Writes which sessions are pinned here; resolves to whether that has succeeded. */
    readonly writePins: (pool: string, report: PinReport) => Promise<boolean>;
}
