/**
 * Recent answers of a pool's old and new version, as counts that can be summed over nodes.
 */
import { z } from "zod";

/**
 * Length of a time slice, in milliseconds. Evidence covers the last `sliceCount` slices only: otherwise the good
 * answers of a version's start would conceal that it becomes bad later.
 */
const sliceMilliseconds = 1_000;
const sliceCount = 6;

/**
 * Times below this part of the caller's objective count as equal. Where answers take one millisecond, one more is a
 * large ratio, and a good version would be reverted because of a short busy period.
 */
const latencyFloorShare = 0.1;

/** Counts of one version. */
export interface VersionCounts {
    readonly answers: number;
    readonly failures: number;
    /** Number of answers with a known time to their head, and the sum and the sum of squares of its logarithm. */
    readonly timed: number;
    readonly logSum: number;
    readonly logSquares: number;
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

/** One answer, as evidence. */
export interface EvidenceAnswer {
    /** Kind of the request. Answers are compared within a kind, since kinds differ in their typical duration. */
    readonly segment: string;
    readonly isCandidate: boolean;
    readonly hasFailed: boolean;
    /** Time to the head of the answer, in milliseconds. Undefined without a head. */
    readonly headMilliseconds: number | undefined;
    /** The time within which the caller expects the answer, in milliseconds. */
    readonly objectiveMilliseconds: number;
}

const emptyCounts: VersionCounts = { answers: 0, failures: 0, timed: 0, logSum: 0, logSquares: 0 };
const emptySegment: SegmentCounts = { current: emptyCounts, candidate: emptyCounts };

interface Slice {
    readonly index: number;
    readonly segments: Map<string, SegmentCounts>;
}

/** Collects this node's evidence on one roll-out. */
export class RolloutEvidence {
    readonly #slices: Slice[] = [];

    /**
     * Adds an answer.
     * @param answer - The answer.
     * @param now - Monotonic milliseconds.
     */
    add(answer: EvidenceAnswer, now: number): void {
        const { segments } = this.#getSlice(now);
        const known = segments.get(answer.segment) ?? emptySegment;
        const counts = toCounts(answer);
        segments.set(answer.segment, {
            current: answer.isCandidate ? known.current : addCounts(known.current, counts),
            candidate: answer.isCandidate ? addCounts(known.candidate, counts) : known.candidate,
        });
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

const countsSchema = z.tuple([z.number(), z.number(), z.number(), z.number(), z.number()]);
const reportSchema = z.object({
    order: z.number(),
    inFlight: z.number(),
    lanes: z.array(z.tuple([z.string(), countsSchema, countsSchema])),
});

/** Encodes a report for peers. */
export function encodeReport(report: EvidenceReport): Buffer {
    const lanes = Array.from(
        report.segments,
        ([segment, { current, candidate }]) => [segment, encodeCounts(current), encodeCounts(candidate)],
    );
    return Buffer.from(JSON.stringify({ order: report.order, inFlight: report.currentInFlight, lanes }));
}

/** Decodes a peer's report. Returns undefined if it has the format of another release that cannot be read. */
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

function toCounts(answer: EvidenceAnswer): VersionCounts {
    const { headMilliseconds, objectiveMilliseconds } = answer;
    const floorMilliseconds = Math.max(1, objectiveMilliseconds * latencyFloorShare);
    const log = headMilliseconds === undefined ? 0 : Math.log(Math.max(floorMilliseconds, headMilliseconds));
    return {
        answers: 1,
        failures: answer.hasFailed ? 1 : 0,
        timed: headMilliseconds === undefined ? 0 : 1,
        logSum: log,
        logSquares: log * log,
    };
}

function addCounts(first: VersionCounts, second: VersionCounts): VersionCounts {
    return {
        answers: first.answers + second.answers,
        failures: first.failures + second.failures,
        timed: first.timed + second.timed,
        logSum: first.logSum + second.logSum,
        logSquares: first.logSquares + second.logSquares,
    };
}

function encodeCounts(counts: VersionCounts): readonly number[] {
    const { answers, failures, timed, logSum, logSquares } = counts;
    return [answers, failures, timed, Number(logSum.toFixed(3)), Number(logSquares.toFixed(3))];
}

function decodeCounts([answers, failures, timed, logSum, logSquares]: z.infer<typeof countsSchema>): VersionCounts {
    return { answers, failures, timed, logSum, logSquares };
}
