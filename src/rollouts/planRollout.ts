/**
 * Plans the next step of a roll-out from the time since its order and the state of both versions.
 */
import type { EvidenceState } from "./evaluateRollout.js";
import { isOver, type RolloutOrder, type RolloutProgress } from "./rollout.js";

/** The input of the next step. */
export interface RolloutSituation {
    readonly order: RolloutOrder;
    /** Undefined before the first step. */
    readonly progress: RolloutProgress | undefined;
    /** Milliseconds since the order. */
    readonly elapsedMilliseconds: number;
    /** Milliseconds since this node received the first progress. 0 before that. */
    readonly announcementAgeMilliseconds: number;
    /** Whether the new version was found bad. */
    readonly isBad: boolean;
    /** What is known of the new version, apart from whether it was found bad. */
    readonly evidence: EvidenceState;
    /** Number of upstreams of the new version that accept requests, and of those of other versions. */
    readonly candidateCount: number;
    readonly currentCount: number;
    /** Requests of all nodes that are in flight at upstreams of the old version. */
    readonly currentInFlight: number;
    /** Maximum share of all requests that a bad version may get until the deadline. */
    readonly exposureShare: number;
    /** Unix milliseconds. */
    readonly wallNow: number;
}

/** Part of the allowed exposure that is used before the new version may take over sessions. */
const firstStepExposureShare = 0.6;
/**
 * Time between the announcement and the first step, in milliseconds. A record reaches the last node within 0.4 s,
 * including the pause of nodes between reads. Within this time first the announcement must reach all nodes, and then
 * their reports.
 */
const announcementLeadMilliseconds = 1_500;
/**
 * Part of the time during which sessions that started on the old version stay there and only new ones go to the new
 * version. That is required for half of the time. The value is slightly above one half, since nodes do not receive an
 * order at the same moment.
 */
export const firstPhaseEnd = 0.53;
/** Share of the second step, and the part of the time after which the last step follows it. */
const secondShare = 0.35;
const secondPhaseEnd = 0.61;
/**
 * Parts of the time after which the second and the last step are taken even if little is known of the new version, and the second
 * one even if something is suspicious. They leave enough time to complete a good version in time.
 */
const latestSecondStep = 0.61;
const latestLastStep = 0.68;
/**
 * Minimum time for which the new version serves everything before the old upstreams are released, as a part of the
 * total time. Faults that appear only under full load are found in it.
 */
const minFullPhaseShare = 0.11;
/**
 * From this part of the time on, the old upstreams are released even if little is known or requests are in flight there. A version
 * that is suspicious then is reverted.
 */
const forcedCompletionShare = 0.86;

/**
 * Returns the next progress, or undefined if nothing changes.
 * @param situation - The state of the roll-out and both versions.
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
    if (isBad || hasNoCandidateAtDeadline(situation, elapsedShare) || isSuspiciousAtEnd(situation)) {
        return { ...base, state: "reverted", share: 0 };
    }
    const share = Math.max(progress?.share ?? 0, getShare(situation, elapsedShare));
    if (progress !== undefined && progress.share === 1 && canComplete(situation)) {
        return { ...base, state: "completed", share: 1 };
    }
    if (progress === undefined || share > progress.share) {
        return { ...base, state: "moving", share };
    }
    return undefined;
}

/**
 * Checks whether the time is over and no upstream of the new version accepts requests, although the pool has other
 * upstreams.
 */
function hasNoCandidateAtDeadline({ candidateCount, currentCount }: RolloutSituation, elapsedShare: number): boolean {
    return elapsedShare >= 1 && candidateCount === 0 && currentCount > 0;
}

/** Checks whether the new version is still suspicious when it would have to be completed. */
function isSuspiciousAtEnd(situation: RolloutSituation): boolean {
    return situation.evidence === "suspicious" && isTimeOver(situation);
}

function getFirstShare({ exposureShare }: RolloutSituation): number {
    return exposureShare * firstStepExposureShare;
}

function getShare(
    { candidateCount, announcementAgeMilliseconds, progress, evidence }: RolloutSituation,
    elapsedShare: number,
): number {
    if (candidateCount === 0) {
        return 0;
    }
    if (elapsedShare < firstPhaseEnd) {
        return announcementAgeMilliseconds < announcementLeadMilliseconds ? 0 : progress?.firstShare ?? 0;
    }
    const isSound = evidence === "sound";
    if (evidence !== "suspicious" && elapsedShare >= (isSound ? secondPhaseEnd : latestLastStep)) {
        return 1;
    }
    return isSound || elapsedShare >= latestSecondStep ? secondShare : 0;
}

function canComplete(situation: RolloutSituation): boolean {
    const { currentInFlight, currentCount, evidence } = situation;
    if (!canCompleteByTime(situation)) {
        return false;
    }
    if (isTimeOver(situation)) {
        return true;
    }
    return evidence !== "suspicious" && (currentCount === 0 || currentInFlight === 0);
}

/** Checks whether the new version has served everything for long enough to be completed. */
export function canCompleteByTime(
    { candidateCount, evidence, elapsedMilliseconds, order }: RolloutSituation,
): boolean {
    const lastStep = evidence === "sound" ? secondPhaseEnd : latestLastStep;
    return candidateCount > 0 && elapsedMilliseconds / order.durationMilliseconds >= lastStep + minFullPhaseShare;
}

/** Checks whether the roll-out ends now, whatever is known. */
export function isTimeOver({ elapsedMilliseconds, order }: RolloutSituation): boolean {
    return elapsedMilliseconds / order.durationMilliseconds >= forcedCompletionShare;
}
