/**
 * Which suspicion against a request leads to what, and how long it counts.
 */
import { type CrashRecord, getSuspicion } from "./crashRecord.js";

/**
 * How far a request had come when its upstream crashed. While it was only waiting, it is less likely to be the cause.
 */
export type CrashStage = "running" | "waiting";

/** Points that a crash adds. */
export const pointsByStage: Readonly<Record<CrashStage, number>> = { running: 2, waiting: 1 };
/** Suspicion from which a request is sent to no upstream: three crashes as it began to run. */
export const quarantinePoints = 3 * pointsByStage.running;
/**
 * Suspicion from which the other nodes are told. A single crash makes all requests of its upstream suspects, and nearly all of them
 * run well at the next one.
 */
export const urgentPoints = 2 * pointsByStage.running;
/** How long a suspicion is remembered that does not suffice for a quarantine. */
const suspicionMilliseconds = 10 * 60_000;
/** Length of a request's first quarantine. A harmless request that was quarantined is refused for this long. */
const firstQuarantineMilliseconds = 60_000;
/**
 * After a quarantine one node tries the request once. If it crashes its upstream again, the next quarantine is this many times
 * longer, so that a request that comes back all the time is tried three times a day.
 */
const quarantineGrowth = 32;
const maxQuarantineMilliseconds = 24 * 3_600_000;
/** How long a request is remembered after a quarantine, so that a single further crash starts the next one. */
const trialMilliseconds = 24 * 3_600_000;

/** Returns whether a request is sent to no upstream, apart from trials. */
export function isQuarantined(record: CrashRecord): boolean {
    return getSuspicion(record) >= quarantinePoints;
}

/** Returns how long a suspicion counts, or how long its quarantine lasts, in milliseconds. */
export function getRetentionMilliseconds(suspicion: number): number {
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
export function isExpired(record: CrashRecord, now: number): boolean {
    return now >= record.until + (isQuarantined(record) ? trialMilliseconds : 0);
}
