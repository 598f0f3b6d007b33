/**
 * How fast one node may begin requests at a pool: its share of what all nodes may do together.
 */
import type { BelievedLoad, PoolLoad } from "./poolLoad.js";
import type { RoomOptions } from "./roomOptions.js";

/** Part of the requests that may wait at the upstreams which less urgent ones may use while more urgent ones are expected. */
const lessUrgentWaitingShare = 0.25;

/** What one priority may use of a pool. */
export interface PriorityRoom {
    /** Occupancy below which a request passes at once. */
    readonly passOccupancy: number;
    /** Occupancy from which no request is begun. */
    readonly maxOccupancy: number;
}

/**
 * Returns the room of a priority. It leaves slots to more urgent requests that are expected while one runs: the square root of their
 * number, by which random arrivals vary.
 * @param load - Believed load of the pool.
 * @param moreUrgentRequests - Expected number of more urgent requests of all nodes while one runs.
 * @param maxHeadroom - Maximum part of the slots that is left to them.
 */
export function getPriorityRoom(load: BelievedLoad, moreUrgentRequests: number, maxHeadroom: number): PriorityRoom {
    const headroom = Math.min(maxHeadroom, Math.sqrt(moreUrgentRequests) / load.slots);
    const passOccupancy = 1 - headroom;
    const maxOccupancy = headroom === 0
        ? Number.POSITIVE_INFINITY
        : passOccupancy + lessUrgentWaitingShare * (load.allowance / load.slots - 1);
    return { passOccupancy, maxOccupancy };
}

/**
 * Returns the part of a pool's room that one node may use. The parts of all nodes add up to 1.
 * @param ownRequests - Smoothed number of the node's requests in flight.
 * @param load - Believed load of the pool.
 * @param nodes - Number of nodes.
 * @param equalShare - Part of the room that is the same for every node.
 */
export function getNodeShare(ownRequests: number, load: BelievedLoad, nodes: number, equalShare: number): number {
    const ownPart = ownRequests / Math.max(1, load.requests, ownRequests);
    return (1 - equalShare) * ownPart + equalShare / Math.max(1, nodes);
}

/**
 * Returns the requests a millisecond that a node may begin at a full pool. By Little's law, the pool then has as many requests as are
 * allowed.
 */
export function getBeginRate(
    pool: PoolLoad,
    load: BelievedLoad,
    options: {
        readonly now: number;
        readonly nodes: number;
        readonly initialServiceMilliseconds: number;
        readonly room: RoomOptions;
    },
): number {
    const { now, nodes, initialServiceMilliseconds, room } = options;
    const share = getNodeShare(pool.getSmoothedInFlight(now), load, nodes, room.equalShare);
    return share * load.allowance / pool.getHoldMilliseconds(load.requests / load.slots, initialServiceMilliseconds);
}
