/**
 * Which suspicion against a request leads to what, and how long it counts.
 */
import { type CrashRecord, getSuspicion } from "./crashRecord.js";

/**
 * How far a request had come when its upstream crashed. While it was only waiting, it is less likely to be the cause.
 */
export type CrashStage = "running" | "waiting";

/** What is known of a crash when it is counted. */
export interface CrashEvidence {
    readonly stage: CrashStage;
    /** Points that count against the subject already. */
    readonly suspicion: number;
    /** Whether a run has recently shown that the subject crashes nothing. */
    readonly hasSurvived: boolean;
    /** Whether the upstream may well have ended for another reason. */
    readonly isDoubtful: boolean;
    /** Whether a subject that has not run well recently, as this one has, is quarantined. */
    readonly hasLikelierCause: boolean;
    /** Whether it came so soon after the last crash that was counted that no run could have disproved that one meanwhile. */
    readonly isJustAfterLast: boolean;
}

/** How suspicion against one kind of subject arises, and who learns of it. */
export interface SuspicionPolicy {
    /** The kind of subject, for log lines. */
    readonly subject: "request" | "part";
    /** Returns the points that a crash adds, 0 if it says nothing against the subject. */
    readonly getCrashPoints: (evidence: CrashEvidence) => number;
    /** Whether a recent run that ended well outweighs what other nodes report. */
    readonly isExcusedBySurvival: boolean;
    /** Suspicion from which a subject is sent to no upstream. */
    readonly quarantinePoints: number;
    /** Suspicion from which the other nodes are told, at once. */
    readonly sharedPoints: number;
    /** Suspicion from which the other nodes are told at once that a run has disproved it. */
    readonly urgentlyClearedPoints: number;
    /** Length of a subject's first quarantine. A harmless one that is held back is refused for this long. */
    readonly firstQuarantineMilliseconds: number;
}

/** Points that a crash adds. */
export const pointsByStage: Readonly<Record<CrashStage, number>> = { running: 2, waiting: 1 };
/** Points of a crash that may well have another cause. */
const doubtfulPoints = 1;
const requestQuarantinePoints = 3 * pointsByStage.running;

/** A request that its caller sends again: three crashes as it began to run. */
export const requestPolicy: SuspicionPolicy = {
    subject: "request",
    getCrashPoints: ({ stage, hasSurvived, isDoubtful }) => hasSurvived || isDoubtful ? 0 : pointsByStage[stage],
    isExcusedBySurvival: true,
    quarantinePoints: requestQuarantinePoints,
    // A single crash makes all requests of its upstream suspects, and nearly all of them run well at the next one.
    sharedPoints: 2 * pointsByStage.running,
    urgentlyClearedPoints: requestQuarantinePoints,
    firstQuarantineMilliseconds: 60_000,
};

/**
 * A part of prompts, which comes with ever new requests at any node: crashes of two requests one after the other, of three if the requests
 * only waited, or of four if the part has run well before or the upstreams may well have ended for another reason. Requests share most of
 * their parts, and one that is held back by mistake is tried again soon.
 */
export const partPolicy: SuspicionPolicy = {
    subject: "part",
    getCrashPoints: getPartCrashPoints,
    isExcusedBySurvival: false,
    quarantinePoints: 2 * pointsByStage.running,
    sharedPoints: doubtfulPoints,
    urgentlyClearedPoints: doubtfulPoints,
    firstQuarantineMilliseconds: 1_000,
};

function getPartCrashPoints(evidence: CrashEvidence): number {
    const { stage, suspicion, hasSurvived, isDoubtful, hasLikelierCause, isJustAfterLast } = evidence;
    if (hasLikelierCause) {
        return 0;
    }
    // Whole queues wait at an upstream, whose prompts have nearly all parts.
    if (!hasSurvived && !isDoubtful && (stage === "running" || suspicion >= pointsByStage.running)) {
        return pointsByStage.running;
    }
    return isJustAfterLast ? 0 : doubtfulPoints;
}

/** How long a suspicion is remembered that does not suffice for a quarantine, or that a run has disproved. */
export const suspicionMilliseconds = 10 * 60_000;
/**
 * After a quarantine one node tries the subject once. If it crashes its upstream again, the next quarantine is this many times
 * longer, so that what comes back all the time is tried three or four times a day.
 */
const quarantineGrowth = 32;
const maxQuarantineMilliseconds = 24 * 3_600_000;
/** How long a subject is remembered after a quarantine, so that a single further crash starts the next one. */
const trialMilliseconds = 24 * 3_600_000;

/** Returns whether a subject is sent to no upstream, apart from trials. */
export function isQuarantined(record: CrashRecord, { quarantinePoints }: SuspicionPolicy): boolean {
    return getSuspicion(record) >= quarantinePoints;
}

/** Returns how long a suspicion counts, or how long its quarantine lasts, in milliseconds. */
export function getRetentionMilliseconds(
    suspicion: number,
    { quarantinePoints, firstQuarantineMilliseconds }: SuspicionPolicy,
): number {
    if (suspicion < quarantinePoints) {
        return suspicionMilliseconds;
    }
    const repeats = (suspicion - quarantinePoints) / pointsByStage.running;
    return Math.min(maxQuarantineMilliseconds, firstQuarantineMilliseconds * quarantineGrowth ** repeats);
}

/**
 * Returns whether a record no longer counts.
 * @param now - Wall-clock time, in milliseconds since the Unix epoch.
 */
export function isExpired(record: CrashRecord, now: number, policy: SuspicionPolicy): boolean {
    return now >= record.until + (isQuarantined(record, policy) ? trialMilliseconds : 0);
}
