/**
 * Roll-outs of a pool's software: traffic moves from the upstreams of one version to those of another.
 */

/** An operator's order to move a pool to a version. */
export interface RolloutOrder {
    /** Place of the order among the operator's records; a later order for the same pool replaces an earlier one. */
    readonly id: number;
    readonly pool: string;
    /** The version to move to. */
    readonly version: string;
    /** Time from the order within which it has to be done, in milliseconds. */
    readonly durationMilliseconds: number;
}

/**
 * How a roll-out stands.
 * - `moving`: a share of the sessions is served by the new version; the share only grows.
 * - `completed`: the new version serves everything, for good.
 * - `reverted`: the new version was found bad and serves nothing.
 */
export type RolloutState = "moving" | "completed" | "reverted";

/** How far a roll-out has come, as all nodes agree on through the store. */
export interface RolloutProgress {
    /** The order that it belongs to. */
    readonly order: number;
    readonly version: string;
    readonly state: RolloutState;
    /** Counts the steps of the order from 1; each is taken once, by whichever node comes first. */
    readonly step: number;
    /** Part of the sessions that the new version serves, from 0 to 1. */
    readonly share: number;
    /**
     * Part of the sessions that the first step takes. It is announced before that step: until then the nodes tell each other which of
     * these sessions the old version serves.
     */
    readonly firstShare: number;
    /** Unix milliseconds at which the order was first seen, so that a restarted node knows how much time is left. */
    readonly orderedAt: number;
}

/** Tells whether a roll-out has ended. */
export function isOver(progress: RolloutProgress): boolean {
    return progress.state !== "moving";
}

/** Tells whether the new version takes only sessions that the old one has not served. */
export function isFirstStep({ state, share, firstShare }: RolloutProgress): boolean {
    return state === "moving" && share <= firstShare;
}
