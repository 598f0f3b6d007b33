/**
 * What claims, bills and leases need of the log: appending, and following a stream. The log client and the log
 * follower fit it; tests put a log in memory in their place.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";
import type { LogEntry, LogRecord, StreamName } from "./record.js";

/**
 * Appends a record once. A failure of the kind `overloaded` or `invalid-input` says that the record was not appended;
 * any other leaves it open.
 */
export type AppendRecord = (stream: StreamName, record: LogRecord) => Promise<Result<number, Failure>>;

/** What to follow, and whom to tell. */
export interface FollowOptions {
    readonly stream: StreamName;
    /** The first offset to read. */
    readonly from: number;
    /** Takes each entry, in the order of offsets. */
    readonly onEntry: (entry: LogEntry) => void;
    /** Told when entries expired before they were read, before reading goes on from `earliest`. */
    readonly onGap: (earliest: number) => void;
}

/** Reads a stream until it is stopped. */
export interface StreamReader {
    start(): void;
    stop(): Promise<void>;
}

/** Creates a reader of a stream. */
export type FollowStream = (options: FollowOptions) => StreamReader;

/** Tells whether a failed append certainly had no effect. */
export function isCertainlyNotAppended(failure: Failure): boolean {
    return failure.kind === "overloaded" || failure.kind === "invalid-input";
}
