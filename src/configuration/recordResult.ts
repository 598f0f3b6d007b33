/**
 * What the fold decides about a record. Every reader decides the same.
 */
import type { TreeValidationError } from "./checkTree.js";

/**
 * What became of a record.
 * - `accepted`: its changes are in force.
 * - `rejected`: a change that came first beat it, or it is invalid.
 * - `repeated`: a record of the same identifier, or of this offset, was folded before.
 * - `ignored`: a kind that changes nothing, such as a snapshot.
 * - `unreadable`: its format is newer than this release; nothing after it is folded.
 * - `gap`: offsets before it are missing; nothing is folded until a snapshot covers them.
 */
export type RecordOutcome = "accepted" | "rejected" | "repeated" | "ignored" | "unreadable" | "gap";

/** The accepted change that beat another one. */
export interface SupersedingChange {
    readonly offset: number;
    readonly author: string;
    readonly section: string;
    readonly key: string;
}

/** The decision about one record. */
export interface RecordResult {
    readonly outcome: RecordOutcome;
    readonly offset: number;
    /** Wall-clock milliseconds of the log service. */
    readonly time: number;
    /** The record's identifier. */
    readonly id: string;
    readonly author: string;
    /** Why its author made it. */
    readonly reason: string;
    /** How many changes it holds. */
    readonly changes: number;
    readonly beatenBy?: SupersedingChange;
    /** Why the record is invalid. */
    readonly mistakes: readonly TreeValidationError[];
    /** Versions whose withdrawal took effect, whatever became of the rest. */
    readonly withdrawn: readonly string[];
}
