/**
 * Roll-outs of a pool's software: traffic moves from the upstreams of one version to those of another one.
 */

/** An operator's order to move a pool to a version. */
export interface RolloutOrder {
    /** Position of the order among the operator's records. A later order for the same pool replaces an earlier one. */
    readonly id: number;
    readonly pool: string;
    /** The version to move to. */
    readonly version: string;
    /** Time after the order within which the roll-out must be done, in milliseconds. */
    readonly durationMilliseconds: number;
}

/**
 * The state of a roll-out.
 * - `moving`: the new version serves a share of the sessions, which only grows.
 * - `completed`: the new version serves everything permanently.
 * - `reverted`: the new version was found bad and serves nothing.
 */
export type RolloutState = "moving" | "completed" | "reverted";

/** The progress of a roll-out. All nodes agree on it through the store. */
export interface RolloutProgress {
    /** Identifier of the order. */
    readonly order: number;
    readonly version: string;
    readonly state: RolloutState;
    /** Number of the step, counted from 1. Each step is taken once, by the first node that writes it. */
    readonly step: number;
    /** Share of the sessions that the new version serves, from 0 to 1. */
    readonly share: number;
    /**
     * Share of the sessions that the first step moves. It is announced before that step. Until then the nodes report to
     * each other which of these sessions the old version serves.
     */
    readonly firstShare: number;
    /** Unix milliseconds at which the order was first seen, so that a restarted node can compute the remaining time. */
    readonly orderedAt: number;
}

/** Checks whether a roll-out has ended. */
export function isOver(progress: RolloutProgress): boolean {
    return progress.state !== "moving";
}

/** Checks whether the new version serves only sessions that the old one has not served. */
export function isFirstStep({ state, share, firstShare }: RolloutProgress): boolean {
    return state === "moving" && share <= firstShare;
}
