/**
 * Defines and creates the records of the `config` stream.
 */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import type { LogRecord } from "../log/index.js";
import type { Change } from "./tree.js";
import { getRequiredFormat } from "./treeSchema.js";

/** Represents the kind of a record in the `config` stream. */
export type ConfigurationRecordKind = "publish" | "snapshot";

const maxChanges = 1_000;
const maxTextLength = 16_384;
const textSchema = z.string().max(maxTextLength);

/** Schema of the body of a `publish` record, as readers of format 1 validate it. */
export const publicationSchema = z.object({
    author: textSchema.min(1),
    reason: textSchema,
    basedOn: z.number().int().nonnegative(),
    changes: z.array(z.object({ section: textSchema, key: textSchema, value: textSchema.optional() }))
        .min(1)
        .max(maxChanges),
});

const stateFormatSchema = z.object({ format: z.number() });

/** Represents a set of changes that an operator publishes. */
export interface Publication {
    readonly author: string;
    readonly reason: string;
    /** The first offset of the stream that the author had not read. */
    readonly basedOn: number;
    readonly changes: readonly Change[];
}

/**
 * Creates the record of a publication.
 * @param publication - The publication.
 * @param writer - Name of the process that appends the record.
 */
export function createPublishRecord(publication: Publication, writer: string): LogRecord {
    const format = getRequiredFormat(publication.changes.map(change => change.section));
    return { id: randomUUID(), kind: "publish", format, writer, body: publication };
}

/**
 * Creates a snapshot record.
 * @param covers - The offset up to which the state is folded.
 * @param state - The folded state.
 * @param writer - Name of the process that appends the record.
 */
export function createSnapshotRecord(covers: number, state: unknown, writer: string): LogRecord {
    const { format } = stateFormatSchema.parse(state);
    return { id: randomUUID(), kind: "snapshot", format, writer, body: { covers, state } };
}

/** Schema of the body of a `snapshot` record. */
export const snapshotBodySchema = z.object({ covers: z.number().int().nonnegative(), state: z.unknown() });
