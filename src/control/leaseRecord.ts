/**
 * Records about leases in the stream `control`.
 */
import { z } from "zod";

/** Kinds of records about leases. */
export const leaseTakeKind = "lease-take";
/** A holder goes on. */
export const leaseRenewKind = "lease-renew";
/** A holder gives the lease up. */
export const leaseReleaseKind = "lease-release";
/** The format in which this version writes them. */
export const leaseFormat = 1;

/** @internal */
export const leaseTakeSchema = z.object({
    lease: z.string(),
    holder: z.string(),
    /** Offset of the last record about the lease that the taker knew; absent when it knew none. */
    supersedes: z.number().int().optional(),
    termMilliseconds: z.number(),
});

/** @internal */
export const leaseRenewSchema = z.object({
    lease: z.string(),
    /** The fencing number under which the holder has it. */
    fence: z.number().int(),
});
