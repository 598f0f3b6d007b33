/**
 * Defines and parses the folded state as JSON, for snapshots in the log and for peers.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";
import type { RecordResult } from "./recordResult.js";
import { treeFormat } from "./treeSchema.js";

const offsetSchema = z.number().int().nonnegative();
const keyLocationShape = { section: z.string(), key: z.string() };
const supersedingChangeSchema = z.object({ offset: offsetSchema, author: z.string(), ...keyLocationShape });
const recordResultSchema = z.object({
    outcome: z.enum(["accepted", "rejected", "repeated", "ignored", "unreadable", "gap"]),
    offset: offsetSchema,
    time: z.number(),
    id: z.string(),
    author: z.string(),
    reason: z.string(),
    changes: z.number(),
    beatenBy: supersedingChangeSchema.optional(),
    mistakes: z.array(z.object({ ...keyLocationShape, message: z.string(), remedy: z.string() })),
    withdrawn: z.array(z.string()),
}) satisfies z.ZodType<RecordResult>;

const snapshotSchema = z.object({
    format: z.number().int().min(1).max(treeFormat),
    offset: offsetSchema,
    changedAt: offsetSchema,
    tree: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.string()]))])),
    touched: z.array(supersedingChangeSchema),
    seen: z.array(z.string()),
    history: z.array(recordResultSchema),
});

/** Represents the state of a fold. */
export type ConfigurationSnapshot = z.infer<typeof snapshotSchema>;

/** Parses a state that was received from the log or from a peer. */
export function parseSnapshot(snapshot: unknown): Result<ConfigurationSnapshot, Failure> {
    const parsed = snapshotSchema.safeParse(snapshot);
    if (parsed.success) {
        return ok(parsed.data);
    }
    return err(
        new Failure({
            kind: "protocol",
            message: "The snapshot of the configuration cannot be read by this release.",
            remedy: "Upgrade this process, or take a snapshot that an entry of this release wrote.",
            cause: parsed.error,
        }),
    );
}
