/**
 * Says for the log why a step of a roll-out is taken, or what it waits for.
 */
import type { ReportAges } from "./peerReports.js";
import { canCompleteByTime, firstPhaseEnd, isTimeOver, type RolloutSituation } from "./planRollout.js";
import { isFirstStep, type RolloutProgress } from "./rollout.js";
import type { EvidenceCounts, VersionCounts } from "./rolloutEvidence.js";
import { countAbove } from "./timeCounts.js";

/** Returns why a step is taken. */
export function explainStep(situation: RolloutSituation, next: RolloutProgress): string {
    const { isBad, evidence, progress } = situation;
    if (next.state === "reverted") {
        if (isBad) {
            return "the new version is bad";
        }
        return evidence === "suspicious" ? "suspicious at the end" : "no upstreams at the end";
    }
    if (next.state === "completed") {
        return isTimeOver(situation) ? "latest time" : "nothing left at the old version";
    }
    if (progress === undefined) {
        return "ordered";
    }
    if (isFirstStep(next)) {
        return "announced";
    }
    return evidence === "sound" ? "sound evidence" : "latest time";
}

/** Returns what the next step waits for. */
export function explainWait(situation: RolloutSituation): string {
    const { candidateCount, elapsedMilliseconds, evidence, order, progress } = situation;
    if (candidateCount === 0) {
        return "upstreams of the new version";
    }
    if (progress?.share === 0) {
        return "announcement";
    }
    if (progress?.share === 1) {
        if (!canCompleteByTime(situation)) {
            return "time at full share";
        }
        return evidence === "suspicious" ? "better evidence" : "requests at the old version";
    }
    if (evidence === "sound" || elapsedMilliseconds < firstPhaseEnd * order.durationMilliseconds) {
        return "time";
    }
    return evidence === "suspicious" ? "better evidence" : "more evidence";
}

/** Returns what is known of both versions: answers, failures among them, times to their heads, and pauses. */
export function summarizeEvidence(evidence: EvidenceCounts): Record<"newVersion" | "oldVersion", string> {
    const segments = [...evidence.values()];
    return {
        newVersion: summarize(segments.map(({ candidate }) => candidate)),
        oldVersion: summarize(segments.map(({ current }) => current)),
    };
}

/** Returns how many reports of other nodes are known, and how long ago they arrived. */
export function summarizeReports({ count, median, max }: ReportAges): string {
    return `${count} reports, median age ${Math.round(median)} ms, oldest ${Math.round(max)} ms`;
}

function summarize(counts: readonly VersionCounts[]): string {
    const sum = (getCount: (counts: VersionCounts) => number): number => {
        return counts.reduce((total, part) => total + getCount(part), 0);
    };
    const answers = sum(part => part.answers);
    const failures = sum(part => part.failures);
    const times = sum(part => countAbove(part.times, -1));
    const pauses = sum(part => countAbove(part.pauses, -1));
    return `${answers} answers, ${failures} failures, ${times} times, ${pauses} pauses`;
}
