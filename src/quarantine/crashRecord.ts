/**
 * What is known about a request that may crash its upstreams, in the form in which nodes send it to each other.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

const crashRecordSchema = z.object({
    fingerprint: z.string().min(1),
    /** Suspicion that has ever been raised against the request, in points. */
    points: z.number().int().nonnegative(),
    /** Points that were disproved by a run that did not crash its upstream. */
    cleared: z.number().int().nonnegative(),
    /** Wall-clock time until which the record counts, in milliseconds since the Unix epoch. */
    until: z.number(),
    /**
     * Wall-clock time of the last crash that was counted, in milliseconds since the Unix epoch. It may have become known seconds later.
     * Missing in the records of older nodes.
     */
    crashedAt: z.number().optional(),
}).readonly();

const crashRecordsSchema = z.array(crashRecordSchema).readonly();

/** One request that may crash its upstreams. Points only grow, so that records of any age can be merged in any order. */
export type CrashRecord = z.infer<typeof crashRecordSchema>;

/** Encodes records for other nodes. */
export function encodeCrashRecords(records: readonly CrashRecord[]): Buffer {
    return Buffer.from(JSON.stringify(records));
}

/** Decodes the records of another node. */
export function decodeCrashRecords(value: Buffer): Result<readonly CrashRecord[], Failure> {
    try {
        return ok(crashRecordsSchema.parse(JSON.parse(value.toString())));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "protocol",
                message: "The records of requests that crash upstreams cannot be read.",
                remedy: "Upgrade the older of the two nodes.",
                cause,
            }),
        );
    }
}

/** Returns the points that count against a request. */
export function getSuspicion({ points, cleared }: CrashRecord): number {
    return points - cleared;
}

/** Merges what two nodes know about a request. */
export function mergeCrashRecords(left: CrashRecord, right: CrashRecord): CrashRecord {
    return {
        fingerprint: left.fingerprint,
        points: Math.max(left.points, right.points),
        cleared: Math.max(left.cleared, right.cleared),
        until: left.points === right.points
            ? Math.max(left.until, right.until)
            : (left.points > right.points ? left.until : right.until),
        crashedAt: mergeCrashTimes(left, right),
    };
}

/** Of as many crashes, the last one is the earlier one of both: more later ones can be told from it. */
function mergeCrashTimes(left: CrashRecord, right: CrashRecord): number | undefined {
    if (left.points !== right.points) {
        return left.points > right.points ? left.crashedAt : right.crashedAt;
    }
    const times = [left.crashedAt, right.crashedAt].filter(time => time !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
}
