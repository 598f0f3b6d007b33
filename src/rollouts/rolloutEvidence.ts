/**
 * Recent answers of a pool's old and new version, as counts that can be summed over nodes.
 */
import { z } from "zod";
import {
    addTimeCounts,
    countTimeClass,
    getLoadClass,
    getTimeClass,
    joinLoads,
    splitByLoad,
    type TimeCounts,
} from "./timeCounts.js";

/**
 * Length of a time slice, in milliseconds. Evidence covers the last `sliceCount` slices only: otherwise the good
 * answers of a version's start would conceal that it becomes bad later.
 */
const sliceMilliseconds = 1_000;
const sliceCount = 6;
/** Time after which an answer is not part of the evidence any more, in milliseconds. */
export const evidenceMilliseconds = sliceMilliseconds * sliceCount;

/**
 * Times below this part of the caller's objective count as equal. Where answers take one millisecond, one more is a
 * large ratio, and a good version would be reverted because of a short busy period.
 */
const latencyFloorShare = 0.1;
/** The same for pauses. It is smaller, since a caller accepts a single long pause, but sums up all of them. */
const pauseFloorShare = 0.025;

/** Counts of one version. */
export interface VersionCounts {
    readonly answers: number;
    readonly failures: number;
    /** Times to the heads of answers. */
    readonly times: TimeCounts;
    /** Times without a head until now, or until an attempt was given up: its answer would have taken at least that long. */
    readonly waits: TimeCounts;
    /** Pauses between the parts of streamed answers, one for each stream. */
    readonly pauses: TimeCounts;
    /** Lower bounds of the usual pauses of streams that run, or were broken off, before their usual pause was known. */
    readonly pauseWaits: TimeCounts;
}

/** Counts of both versions for requests of one kind. */
export interface SegmentCounts {
    readonly current: VersionCounts;
    readonly candidate: VersionCounts;
}

/** Counts by kind of request. */
export type EvidenceCounts = ReadonlyMap<string, SegmentCounts>;

/** A node's report on a roll-out, as it is sent to the other nodes. */
export interface EvidenceReport {
    readonly order: number;
    /** Requests of this node that are in flight at upstreams of the old version. */
    readonly currentInFlight: number;
    readonly segments: EvidenceCounts;
}

/** The attempts of one kind at one version. */
export interface EvidenceKind {
    /** Kind of the request. Answers are compared within a kind, since kinds differ in their typical duration. */
    readonly segment: string;
    readonly isCandidate: boolean;
    /** The time within which the caller expects the answer, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** The longest pause between the parts of an answer that the caller accepts, in milliseconds. */
    readonly pauseObjectiveMilliseconds: number;
    /** Requests at the upstream as the attempt began, as a share of its slots. An upstream of unknown load counts as idle. */
    readonly load?: number;
}

/** The time of an attempt. */
export interface EvidenceTime {
    readonly milliseconds: number;
    /** Whether the answer had a head at that time. */
    readonly hasHead: boolean;
}

/** The usual pause of a stream. */
export interface EvidencePause {
    readonly milliseconds: number;
    /** Whether the pause is known. Otherwise it is at least as long. */
    readonly isKnown: boolean;
}

const emptyCounts: VersionCounts = { answers: 0, failures: 0, times: [], waits: [], pauses: [], pauseWaits: [] };
const emptySegment: SegmentCounts = { current: emptyCounts, candidate: emptyCounts };

interface Slice {
    readonly index: number;
    readonly segments: Map<string, SegmentCounts>;
}

/** Collects this node's evidence on one roll-out. */
export class RolloutEvidence {
    readonly #slices: Slice[] = [];

    /**
     * Adds the outcome of an answer.
     * @param kind - The kind of attempt.
     * @param hasFailed - Whether the answer is a failure of the upstream.
     * @param now - Monotonic milliseconds.
     */
    addOutcome(kind: EvidenceKind, hasFailed: boolean, now: number): void {
        this.#add(kind, { ...emptyCounts, answers: 1, failures: hasFailed ? 1 : 0 }, now);
    }

    /**
     * Adds the time of an attempt.
     * @param kind - The kind of attempt.
     * @param time - The time to the head, or until the attempt was given up.
     * @param now - Monotonic milliseconds.
     */
    addTime(kind: EvidenceKind, time: EvidenceTime, now: number): void {
        this.#add(kind, countTime(kind, time), now);
    }

    /**
     * Adds a usual pause of a streamed answer.
     * @param kind - The kind of attempt.
     * @param milliseconds - The pause.
     * @param now - Monotonic milliseconds.
     */
    addPause(kind: EvidenceKind, milliseconds: number, now: number): void {
        this.#add(kind, countPause(kind, { milliseconds, isKnown: true }), now);
    }

    /**
     * Adds the lower bound of the usual pause of a stream that was broken off before it was known.
     * @param kind - The kind of attempt.
     * @param milliseconds - The lower bound.
     * @param now - Monotonic milliseconds.
     */
    addPauseWait(kind: EvidenceKind, milliseconds: number, now: number): void {
        this.#add(kind, countPause(kind, { milliseconds, isKnown: false }), now);
    }

    #add(kind: EvidenceKind, counts: VersionCounts, now: number): void {
        addToSegment(this.#getSlice(now).segments, kind, counts);
    }

    /**
     * Returns the counts of the last slices.
     * @param now - Monotonic milliseconds.
     */
    getCounts(now: number): EvidenceCounts {
        this.#removeExpiredSlices(now);
        return addEvidence(this.#slices.map(slice => slice.segments));
    }

    #getSlice(now: number): Slice {
        const index = Math.floor(now / sliceMilliseconds);
        let slice = this.#slices.at(-1);
        if (slice === undefined || slice.index !== index) {
            slice = { index, segments: new Map() };
            this.#slices.push(slice);
            this.#removeExpiredSlices(now);
        }
        return slice;
    }

    #removeExpiredSlices(now: number): void {
        const lastExpiredIndex = Math.floor(now / sliceMilliseconds) - sliceCount;
        while (this.#slices.length > 0 && this.#slices[0].index <= lastExpiredIndex) {
            this.#slices.shift();
        }
    }
}

/** Sums the evidence of several nodes or time slices. */
export function addEvidence(parts: Iterable<EvidenceCounts>): EvidenceCounts {
    const total = new Map<string, SegmentCounts>();
    for (const part of parts) {
        for (const [segment, counts] of part) {
            const known = total.get(segment) ?? emptySegment;
            total.set(segment, {
                current: addCounts(known.current, counts.current),
                candidate: addCounts(known.candidate, counts.candidate),
            });
        }
    }
    return total;
}

/** Times in the format of another release cannot be compared with this release's. */
const timesSchema = z.array(z.array(z.number())).catch([]).transform(joinLoads);
const countsSchema = z.tuple([z.number(), z.number(), timesSchema, timesSchema, timesSchema, timesSchema]);
const reportSchema = z.object({
    order: z.number(),
    inFlight: z.number(),
    /** The requests in flight are known even if another release counts in a format that cannot be read. */
    lanes: z.array(z.tuple([z.string(), countsSchema, countsSchema])).catch([]),
});

/** Encodes a report for peers. */
export function encodeReport(report: EvidenceReport): Buffer {
    const lanes = Array.from(
        report.segments,
        ([segment, { current, candidate }]) => [segment, encodeCounts(current), encodeCounts(candidate)],
    );
    return Buffer.from(JSON.stringify({ order: report.order, inFlight: report.currentInFlight, lanes }));
}

/** Decodes a peer's report as far as its format, which may be that of another release, can be read. Returns undefined if it names no order. */
export function decodeReport(value: Buffer): EvidenceReport | undefined {
    const parsed = reportSchema.safeParse(JSON.parse(value.toString()));
    if (!parsed.success) {
        return undefined;
    }
    const { order, inFlight, lanes } = parsed.data;
    const decoded = new Map<string, SegmentCounts>();
    for (const [segment, current, candidate] of lanes) {
        decoded.set(segment, { current: decodeCounts(current), candidate: decodeCounts(candidate) });
    }
    return { order, currentInFlight: inFlight, segments: decoded };
}

/** Counts one attempt by its time. */
export function countTime(kind: EvidenceKind, { milliseconds, hasHead }: EvidenceTime): VersionCounts {
    const counts = countMilliseconds(kind, milliseconds, kind.objectiveMilliseconds * latencyFloorShare);
    return hasHead ? { ...emptyCounts, times: counts } : { ...emptyCounts, waits: counts };
}

/** Counts one stream by its usual pause. */
export function countPause(kind: EvidenceKind, { milliseconds, isKnown }: EvidencePause): VersionCounts {
    const counts = countMilliseconds(kind, milliseconds, kind.pauseObjectiveMilliseconds * pauseFloorShare);
    return isKnown ? { ...emptyCounts, pauses: counts } : { ...emptyCounts, pauseWaits: counts };
}

function countMilliseconds({ load = 0 }: EvidenceKind, milliseconds: number, shortestMilliseconds: number): TimeCounts {
    return countTimeClass(getTimeClass(milliseconds, Math.max(1, shortestMilliseconds)), getLoadClass(load));
}

/** Adds counts of one version to those of a kind of request. */
export function addToSegment(
    segments: Map<string, SegmentCounts>,
    { segment, isCandidate }: EvidenceKind,
    counts: VersionCounts,
): void {
    const known = segments.get(segment) ?? emptySegment;
    segments.set(segment, {
        current: isCandidate ? known.current : addCounts(known.current, counts),
        candidate: isCandidate ? addCounts(known.candidate, counts) : known.candidate,
    });
}

function addCounts(first: VersionCounts, second: VersionCounts): VersionCounts {
    return {
        answers: first.answers + second.answers,
        failures: first.failures + second.failures,
        times: addTimeCounts(first.times, second.times),
        waits: addTimeCounts(first.waits, second.waits),
        pauses: addTimeCounts(first.pauses, second.pauses),
        pauseWaits: addTimeCounts(first.pauseWaits, second.pauseWaits),
    };
}

function encodeCounts({ answers, failures, times, waits, pauses, pauseWaits }: VersionCounts): readonly unknown[] {
    return [answers, failures, ...[times, waits, pauses, pauseWaits].map(splitByLoad)];
}

function decodeCounts(
    [answers, failures, times, waits, pauses, pauseWaits]: z.infer<typeof countsSchema>,
): VersionCounts {
    return { answers, failures, times, waits, pauses, pauseWaits };
}
