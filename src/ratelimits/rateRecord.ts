/**
 * What is known of the rate limit of an upstream, in the form in which nodes send it to each other.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

const rateRecordSchema = z.object({
    /** Identifier of the upstream. */
    upstream: z.string().min(1),
    /**
     * Number of the change, higher than that of each change that its finder knew, and at least the wall-clock time in milliseconds
     * since the Unix epoch: a node that has forgotten earlier changes numbers a new one above them.
     */
    change: z.number().int().nonnegative(),
    /** Requests a second that the upstream takes from all nodes together; omitted if it states no limit. */
    requestsPerSecond: z.number().nonnegative().optional(),
}).readonly();

const rateRecordsSchema = z.array(rateRecordSchema).readonly();

/** One change of the rate limit of an upstream. */
export type RateRecord = z.infer<typeof rateRecordSchema>;

/** The rate of an upstream that states no limit. */
export const unlimitedRate = Number.POSITIVE_INFINITY;

/** Returns the requests a second that an upstream takes, or `unlimitedRate`. */
export function getRate(record: RateRecord | undefined): number {
    return record?.requestsPerSecond ?? unlimitedRate;
}

/** Returns whether a record replaces another one. Of two records with one number, which two nodes found at once, the lower rate counts. */
export function isNewer(record: RateRecord, known: RateRecord | undefined): boolean {
    if (known === undefined || record.change !== known.change) {
        return record.change > (known?.change ?? -1);
    }
    return getRate(record) < getRate(known);
}

/** Encodes records for other nodes. */
export function encodeRateRecords(records: readonly RateRecord[]): Buffer {
    return Buffer.from(JSON.stringify(records));
}

/** Decodes the records of another node. */
export function decodeRateRecords(value: Buffer): Result<readonly RateRecord[], Failure> {
    try {
        return ok(rateRecordsSchema.parse(JSON.parse(value.toString())));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "protocol",
                message: "The rate limits of upstreams that another node published cannot be read.",
                remedy: "Upgrade the older of the two nodes.",
                cause,
            }),
        );
    }
}
