/**
 * Defines the result of folding a record. It is the same on every reader.
 */
import type { TreeValidationError } from "./checkTree.js";

/**
 * Represents the outcome of a record.
 * - `accepted`: its changes are in force.
 * - `rejected`: it is superseded by an earlier change, or it is invalid.
 * - `repeated`: a record with the same identifier or offset was folded before.
 * - `ignored`: records of its kind change nothing, such as a snapshot.
 * - `unreadable`: its format is newer than this release supports; no later record is folded.
 * - `gap`: records before it are missing; nothing is folded until a snapshot covers them.
 */
export type RecordOutcome = "accepted" | "rejected" | "repeated" | "ignored" | "unreadable" | "gap";

/** Represents an accepted change that supersedes another one. */
export interface SupersedingChange {
    readonly offset: number;
    readonly author: string;
    readonly section: string;
    readonly key: string;
}

/** Represents the result of one record. */
export interface RecordResult {
    readonly outcome: RecordOutcome;
    readonly offset: number;
    /** Wall-clock time of the log service, in milliseconds. */
    readonly time: number;
    /** The record's identifier. */
    readonly id: string;
    readonly author: string;
    /** The reason that the author gave. */
    readonly reason: string;
    /** Number of changes in the record. */
    readonly changes: number;
    readonly beatenBy?: SupersedingChange;
    /** The validation errors of the record. */
    readonly mistakes: readonly TreeValidationError[];
    /** Versions whose withdrawal took effect, even if the rest of the record was rejected. */
    readonly withdrawn: readonly string[];
}
