/**
 * Operations on claims, and their form in the log.
 */
import { z } from "zod";

/**
 * The purpose of a claim, which determines how long the key is retained.
 * - `run`: an idempotency key. The key is retained for a fixed time after the claim.
 * - `pin`: the version of a session. Each further claim on the key renews it.
 */
export type ClaimPurpose = "run" | "pin";

/** One operation on a key. */
export interface ClaimOperation {
    readonly kind: "claim" | "release" | "complete";
    /** Unique for each attempt to claim. A release or completion has the identifier of the claim that it ends. */
    readonly id: string;
    readonly key: string;
    /** The value that the key is claimed for: a request identifier or a version. */
    readonly value: string;
    /** For a completion: the outcome, which later callers of the key receive. */
    readonly outcome?: string;
}

/** The decision on an operation, by the order of the log. */
export interface ClaimDecision {
    readonly kind: ClaimOperation["kind"];
    readonly id: string;
    /**
     * - `granted`: this claim holds the key.
     * - `held`: another claim holds the key and has not completed.
     * - `completed`: the claim that holds the key has completed with `outcome`.
     * - `released`: this claim has ended without running and can never be granted again.
     * - `releasing`: another claim holds the key, but its claimant has released it and the log does not hold the
     *   release yet. Nothing was written for this claim.
     */
    readonly verdict: "granted" | "held" | "completed" | "released" | "releasing";
    /** The value that the key is claimed for. */
    readonly value: string;
    readonly outcome?: string;
}

/** Kind of records with operations. */
export const claimsKind = "claims";
/** Kind of records with a part of a snapshot. */
export const claimsSnapshotKind = "claims-snapshot";
/** Format in which this program writes both kinds. */
export const claimsFormat = 1;

const pinPrefix = "pin:";

/** Returns the purpose of a key. */
export function getPurpose(key: string): ClaimPurpose {
    return key.startsWith(pinPrefix) ? "pin" : "run";
}

/**
 * Returns the key under which a session's pin is claimed.
 * @param workspace - The workspace. Its name contains no slash.
 * @param session - The identifier of the session, unique within its workspace.
 */
export function createPinKey(workspace: string, session: string): string {
    return `${pinPrefix}${workspace}/${session}`;
}

/**
 * Returns the key under which a request's run is claimed.
 * @param workspace - The workspace. Its name contains no slash.
 * @param idempotencyKey - The value of the caller's `Idempotency-Key` header.
 */
export function createRunKey(workspace: string, idempotencyKey: string): string {
    return `run:${workspace}/${idempotencyKey}`;
}

/** @internal */
export const claimsBodySchema = z.object({
    operations: z.array(z.object({
        kind: z.enum(["claim", "release", "complete"]),
        id: z.string(),
        key: z.string(),
        value: z.string(),
        outcome: z.string().optional(),
    })),
});

/** @internal */
export const claimsSnapshotSchema = z.object({
    /** Identifier of the snapshot, equal in all its parts. */
    snapshot: z.string(),
    /** The last offset that the snapshot covers. */
    covers: z.number().int(),
    part: z.number().int(),
    parts: z.number().int(),
    logTime: z.number(),
    holdings: z.array(z.object({
        key: z.string(),
        id: z.string(),
        value: z.string(),
        time: z.number(),
        outcome: z.string().optional(),
    })),
    endedClaims: z.array(z.tuple([z.string(), z.number()])),
    recordIds: z.array(z.tuple([z.string(), z.number()])),
});

/** A part of a snapshot, in the form of a record body. */
export type ClaimsSnapshotPart = Readonly<z.infer<typeof claimsSnapshotSchema>>;
