/**
 * Settings of the room that callers compete for, and their defaults.
 */
import type { WaitingBounds } from "./waitingRequests.js";

/** Settings of the room of a pool. */
export interface RoomOptions {
    /** Bounds of the requests that wait at one node for one pool. */
    readonly bounds: WaitingBounds;
    /** Part of the room that is the same for every node, so that one without requests in flight can begin some. */
    readonly equalShare: number;
    /** Factor of the rate at which waiting requests are begun once there is room again. */
    readonly recoveryFactor: number;
    /** Maximum part of the slots that a less urgent request leaves to more urgent ones. */
    readonly maxHeadroom: number;
    /** Minimum part of the rate that less urgent requests are expected to get. */
    readonly minRateShare: number;
    /** Interval in which waiting requests that can no longer be served are found. */
    readonly sweepMilliseconds: number;
    /** Maximum interval in which it is checked whether a request can begin. */
    readonly maxPauseMilliseconds: number;
    /** Time by which unused room of a node accumulates. */
    readonly creditMilliseconds: number;
    /** Share of the time left within which a caller that is turned away may return. */
    readonly maxRetryShare: number;
    readonly minRetryMilliseconds: number;
    /** Maximum number of callers whose time to return is stored. */
    readonly maxTrackedCallers: number;
}

/** Default settings of the room of a pool. */
export const defaultRoomOptions: RoomOptions = {
    bounds: { requests: 2_048, bytes: 8 * 1_024 * 1_024 },
    equalShare: 0.25,
    recoveryFactor: 4,
    maxHeadroom: 0.1,
    minRateShare: 0.1,
    sweepMilliseconds: 50,
    maxPauseMilliseconds: 25,
    creditMilliseconds: 50,
    maxRetryShare: 1 / 3,
    minRetryMilliseconds: 60,
    maxTrackedCallers: 4_096,
};
