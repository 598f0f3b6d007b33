/**
 * The load of a replayed fleet, what is bad of its new version and what happens to its nodes, and what its roll-out did.
 */

/** What is bad of a version. */
export interface BadVersion {
    /** Failures, or answers that take longer. */
    readonly how: "errors" | "slow";
    /** Share of its requests that are bad. */
    readonly share: number;
    /** Factors by which slow answers begin later and have longer pauses. */
    readonly headFactor?: number;
    readonly pauseFactor?: number;
    /** The only kind of request of which answers are bad. */
    readonly segment?: string;
    /** Time after the order from which on it is bad, in milliseconds. */
    readonly from?: number;
    /** Load of a runner from which on its answers are bad. */
    readonly minLoad?: number;
}

/** What happens to nodes. */
export interface FleetTrouble {
    /** All nodes are stopped and started in turn, from a time after the order to another, in milliseconds. */
    readonly restarts?: { readonly from: number; readonly until: number; readonly downMilliseconds: number; };
    /** Nodes that are added. */
    readonly added?: { readonly at: number; readonly count: number; };
    /** A share of the nodes is cut off from the other nodes. */
    readonly cut?: { readonly from: number; readonly until: number; readonly share: number; };
    /** A share of the nodes does not reach the store. */
    readonly withoutStore?: { readonly from: number; readonly until: number; readonly share: number; };
}

/** Options of a replay. */
export interface FleetReplayOptions {
    readonly seed: number;
    readonly nodes: number;
    /** Usual requests a second, and the factor of the demand at a time after the order. */
    readonly requestsPerSecond: number;
    readonly getDemand?: (elapsed: number) => number;
    readonly durationMilliseconds: number;
    /** Undefined for a good version. */
    readonly bad?: BadVersion;
    readonly trouble?: FleetTrouble;
}

/** What a roll-out did. */
export interface ReplayedFleet {
    readonly state: string | undefined;
    /** Milliseconds from the order to the last step, and to the first halt at any node. */
    readonly endedAt: number | undefined;
    readonly haltedAt: number | undefined;
    /** Requests that the new version got, and how many a bad one may get. */
    readonly exposed: number;
    readonly allowed: number;
    /** Requests that the new version got later than the bound after its 50th bad answer. */
    readonly late: number;
    readonly steps: readonly { readonly at: number; readonly share: number; }[];
    /** Bytes that the busiest node received from other nodes, a second. */
    readonly maxBytesPerSecond: number;
}
