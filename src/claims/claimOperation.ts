/**
 * Operations on claims, and the form in which they stand in the log.
 */
import { z } from "zod";

/**
 * What a claim is for; it decides how long the key is kept.
 * - `run`: an idempotency key. The key is kept for a fixed time after the claim.
 * - `pin`: the version of a session. Each further claim on the key renews it.
 */
export type ClaimPurpose = "run" | "pin";

/** One operation on a key. */
export interface ClaimOperation {
    readonly kind: "claim" | "release" | "complete";
    /** Unique for each attempt to claim. A release or completion carries the identifier of the claim that it ends. */
    readonly id: string;
    readonly key: string;
    /** What is claimed for the key: a request identifier or a version. */
    readonly value: string;
    /** For a completion: the outcome, to be given to whoever asks for the key again. */
    readonly outcome?: string;
}

/** How an operation ended, by the order of the log. */
export interface ClaimDecision {
    readonly kind: ClaimOperation["kind"];
    readonly id: string;
    /**
     * - `granted`: the key belongs to this claim.
     * - `held`: it belongs to another claim that has not completed.
     * - `completed`: its claim has completed; `outcome` tells how.
     * - `released`: this claim has ended without running and can never be granted again.
     */
    readonly verdict: "granted" | "held" | "completed" | "released";
    /** The value that the key is claimed for. */
    readonly value: string;
    readonly outcome?: string;
}

/** The kind of the records that carry operations. */
export const claimsKind = "claims";
/** The kind of the records that carry a part of a snapshot. */
export const claimsSnapshotKind = "claims-snapshot";
/** The format in which this version writes both kinds. */
export const claimsFormat = 1;

const pinPrefix = "pin:";

/** Tells what a key is for. */
export function getPurpose(key: string): ClaimPurpose {
    return key.startsWith(pinPrefix) ? "pin" : "run";
}

/**
 * Gives the key that a session's pin is claimed under.
 * @param workspace - The workspace, whose name holds no slash.
 * @param session - The session's identifier, unique in its workspace.
 */
export function createPinKey(workspace: string, session: string): string {
    return `${pinPrefix}${workspace}/${session}`;
}

/**
 * Gives the key that a request's run is claimed under.
 * @param workspace - The workspace, whose name holds no slash.
 * @param idempotencyKey - What the caller sent in `Idempotency-Key`.
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
    /** The snapshot's identifier, the same in all its parts. */
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

/** A part of a snapshot, as it stands in a record. */
export type ClaimsSnapshotPart = Readonly<z.infer<typeof claimsSnapshotSchema>>;
