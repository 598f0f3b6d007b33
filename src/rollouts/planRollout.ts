/**
 * The next step of a roll-out, from the time since its order and what is known of both versions.
 */
import { isOver, type RolloutOrder, type RolloutProgress } from "./rollout.js";

/** What the next step rests on. */
export interface RolloutSituation {
    readonly order: RolloutOrder;
    /** Undefined before the first step. */
    readonly progress: RolloutProgress | undefined;
    /** Milliseconds since the order. */
    readonly elapsedMilliseconds: number;
    /** Milliseconds since this node heard of the first progress; 0 before. */
    readonly announcedMilliseconds: number;
    /** Whether the new version was found bad. */
    readonly isBad: boolean;
    /** Upstreams of the new version that take requests, and those of other versions. */
    readonly candidates: number;
    readonly currents: number;
    /** Requests of all nodes that are at work at upstreams of the old version. */
    readonly currentInFlight: number;
    /** Part of all requests that a bad version may get until the deadline. */
    readonly exposureShare: number;
    /** Nodes that may be at work. */
    readonly members: number;
    /** Unix milliseconds. */
    readonly wallNow: number;
}

/** Part of the allowed exposure that is used until the new version may take over sessions. */
const firstExposure = 0.45;
/**
 * From so many nodes on the first step takes a smaller share, in proportion: news of a bad version takes longer there, and meanwhile more
 * requests come.
 */
const firstStepMembers = 16;
/**
 * Between the announcement and the first step, in milliseconds. A record reaches the last node in 0.4 s, with the pause that nodes make
 * between reads; the announcement has to, and then what the nodes report.
 */
const announcementMilliseconds = 1_500;
/**
 * Until half of the time is over, sessions that began on the old version stay there: only new ones go to the new version.
 * A little later than half, since nodes do not hear of an order at the same moment.
 */
const firstPhase = 0.53;
/** Share in the second step, and when it and the last one begin, in parts of the time. */
const secondShare = 0.35;
const secondPhase = 0.61;
/** The new version serves everything for so long before the old upstreams are let go: faults under full load show. */
const leastFullPhase = 0.11;
/** From here on the old upstreams are let go even if requests are at work there. */
const lastPhase = 0.86;

/**
 * Returns the next progress, or undefined when nothing changes.
 * @param situation - What is known.
 */
export function planRollout(situation: RolloutSituation): RolloutProgress | undefined {
    const { order, progress, isBad, wallNow, elapsedMilliseconds } = situation;
    if (progress !== undefined && isOver(progress)) {
        return undefined;
    }
    const orderedAt = progress?.orderedAt ?? wallNow - elapsedMilliseconds;
    const firstShare = progress?.firstShare ?? getFirstShare(situation);
    const step = (progress?.step ?? 0) + 1;
    const base = { order: order.id, version: order.version, step, orderedAt, firstShare };
    const time = elapsedMilliseconds / order.durationMilliseconds;
    if (isBad || isHopeless(situation, time)) {
        return { ...base, state: "reverted", share: 0 };
    }
    const share = Math.max(progress?.share ?? 0, getShare(situation, time));
    if (progress !== undefined && progress.share === 1 && mayComplete(situation, time)) {
        return { ...base, state: "completed", share: 1 };
    }
    if (progress === undefined || share > progress.share) {
        return { ...base, state: "moving", share };
    }
    return undefined;
}

/** Tells whether the time is over and no upstream of the new version takes requests, though others of the pool are known. */
function isHopeless({ candidates, currents }: RolloutSituation, time: number): boolean {
    return time >= 1 && candidates === 0 && currents > 0;
}

function getFirstShare({ exposureShare, members }: RolloutSituation): number {
    return exposureShare * firstExposure * Math.min(1, firstStepMembers / members);
}

function getShare({ candidates, announcedMilliseconds, progress }: RolloutSituation, time: number): number {
    if (candidates === 0) {
        return 0;
    }
    if (time < firstPhase) {
        return announcedMilliseconds < announcementMilliseconds ? 0 : progress?.firstShare ?? 0;
    }
    return time < secondPhase ? secondShare : 1;
}

function mayComplete({ candidates, currentInFlight, currents }: RolloutSituation, time: number): boolean {
    if (candidates === 0 || time < secondPhase + leastFullPhase) {
        return false;
    }
    return currents === 0 || currentInFlight === 0 || time >= lastPhase;
}
