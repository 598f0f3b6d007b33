/**
 * Records about leases in the stream `control`.
 */
import { z } from "zod";

/** Kind of the record that takes a lease. */
export const leaseTakeKind = "lease-take";
/** Kind of the record with which a holder renews its lease. */
export const leaseRenewKind = "lease-renew";
/** Kind of the record with which a holder releases its lease. */
export const leaseReleaseKind = "lease-release";
/** The format in which this release writes these records. */
export const leaseFormat = 1;

/** @internal */
export const leaseTakeSchema = z.object({
    lease: z.string(),
    holder: z.string(),
    /** Offset of the last record about the lease that the taker has read. Absent if it has read none. */
    supersedes: z.number().int().optional(),
    termMilliseconds: z.number(),
});

/** @internal */
export const leaseRenewSchema = z.object({
    lease: z.string(),
    /** The fencing token of the holder. */
    fence: z.number().int(),
});
