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
    readonly announcementAgeMilliseconds: number;
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
const firstStepExposureShare = 0.45;
/**
 * From so many nodes on the first step takes a smaller share, in proportion: news of a bad version takes longer there, and meanwhile more
 * requests come.
 */
const firstStepMemberThreshold = 16;
/**
 * Between the announcement and the first step, in milliseconds. A record reaches the last node in 0.4 s, with the pause that nodes make
 * between reads; the announcement has to, and then what the nodes report.
 */
const announcementLeadMilliseconds = 1_500;
/**
 * Until half of the time is over, sessions that began on the old version stay there: only new ones go to the new version.
 * A little later than half, since nodes do not hear of an order at the same moment.
 */
const firstPhaseEnd = 0.53;
/** Share in the second step, and when it and the last one begin, in parts of the time. */
const secondShare = 0.35;
const secondPhaseEnd = 0.61;
/** The new version serves everything for so long before the old upstreams are let go: faults under full load show. */
const minFullPhaseShare = 0.11;
/** From here on the old upstreams are let go even if requests are at work there. */
const forcedCompletionShare = 0.86;

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
    const elapsedShare = elapsedMilliseconds / order.durationMilliseconds;
    if (isBad || hasNoCandidateAtDeadline(situation, elapsedShare)) {
        return { ...base, state: "reverted", share: 0 };
    }
    const share = Math.max(progress?.share ?? 0, getShare(situation, elapsedShare));
    if (progress !== undefined && progress.share === 1 && canComplete(situation, elapsedShare)) {
        return { ...base, state: "completed", share: 1 };
    }
    if (progress === undefined || share > progress.share) {
        return { ...base, state: "moving", share };
    }
    return undefined;
}

/** Tells whether the time is over and no upstream of the new version takes requests, though others of the pool are known. */
function hasNoCandidateAtDeadline({ candidates, currents }: RolloutSituation, elapsedShare: number): boolean {
    return elapsedShare >= 1 && candidates === 0 && currents > 0;
}

function getFirstShare({ exposureShare, members }: RolloutSituation): number {
    return exposureShare * firstStepExposureShare * Math.min(1, firstStepMemberThreshold / members);
}

function getShare(
    { candidates, announcementAgeMilliseconds, progress }: RolloutSituation,
    elapsedShare: number,
): number {
    if (candidates === 0) {
        return 0;
    }
    if (elapsedShare < firstPhaseEnd) {
        return announcementAgeMilliseconds < announcementLeadMilliseconds ? 0 : progress?.firstShare ?? 0;
    }
    return elapsedShare < secondPhaseEnd ? secondShare : 1;
}

function canComplete({ candidates, currentInFlight, currents }: RolloutSituation, elapsedShare: number): boolean {
    if (candidates === 0 || elapsedShare < secondPhaseEnd + minFullPhaseShare) {
        return false;
    }
    return currents === 0 || currentInFlight === 0 || elapsedShare >= forcedCompletionShare;
}
