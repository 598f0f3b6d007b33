/**
 * Dependencies and settings of roll-outs.
 */
import type { Clock } from "../common/index.js";
import type { Journal } from "../events/index.js";
import type { UpstreamRegistry } from "../fleet/index.js";
import type { PeerReport } from "./peerReports.js";
import type { PinReport } from "./pinnedSessions.js";
import type { RolloutOrder, RolloutProgress } from "./rollout.js";

/** Dependencies and settings of roll-outs. */
export interface RolloutsOptions {
    /** Name of this node. */
    readonly self: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly registry: UpstreamRegistry;
    readonly exposureShare: number;
    readonly sessionMilliseconds: number;
    /** Returns how many nodes rank before this one. */
    readonly getRank: () => number;
    /** Returns whether an upstream accepts connections, and so has not crashed. */
    readonly isRunning: (upstream: string) => Promise<boolean>;
    /** Publishes this node's evidence on a pool's roll-out to the other nodes, at once to those that follow the roll-out closely. */
    readonly publishEvidence: (pool: string, value: Buffer) => void;
    /** Returns the least time between two publications, in milliseconds. It grows with the number of nodes, whose reports a leading node reads. */
    readonly getReportInterval: () => number;
    /** Returns the evidence of the other nodes. */
    readonly getEvidence: (pool: string) => Iterable<PeerReport>;
    /** Notifies all nodes at once that a pool's roll-out was found bad. */
    readonly publishHalt: (pool: string, order: number) => void;
    /** Writes a step unless another node has written it already. Resolves when the write has succeeded or failed. */
    readonly writeProgress: (order: RolloutOrder, progress: RolloutProgress) => Promise<void>;
    /** Returns whether the store holds a progress that was read before, or a later one. It may have come back from an older copy. */
    readonly isStored: (pool: string, progress: RolloutProgress) => boolean;
    /** Writes which sessions are pinned here. Resolves to whether that succeeded. */
    readonly writePins: (pool: string, report: PinReport) => Promise<boolean>;
}
