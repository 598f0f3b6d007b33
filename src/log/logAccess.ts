/**
 * Interfaces of the log that claims, bills and leases use: appending a record, and following a stream. `LogClient` and
 * `LogFollower` implement them; tests use a log in memory.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";
import type { LogEntry, LogRecord, StreamName } from "./record.js";

/**
 * Appends a record once. After a failure of the kind `overloaded` or `invalid-input`, the record was not appended.
 * After any other failure, it is unknown whether it was.
 */
export type AppendRecord = (stream: StreamName, record: LogRecord) => Promise<Result<number, Failure>>;

/** Options for following a stream. */
export interface FollowOptions {
    readonly stream: StreamName;
    /** The first offset to read. */
    readonly from: number;
    /** Receives each entry, in the order of offsets. */
    readonly onEntry: (entry: LogEntry) => void;
    /** Called when entries expired before they were read. Reading continues at `earliest` afterwards. */
    readonly onGap: (earliest: number) => void;
}

/** Reads a stream until it is stopped. */
export interface StreamReader {
    start(): void;
    stop(): Promise<void>;
}

/** Creates a reader of a stream. */
export type FollowStream = (options: FollowOptions) => StreamReader;

/** Returns whether a failed append certainly had no effect. */
export function isCertainlyNotAppended(failure: Failure): boolean {
    return failure.kind === "overloaded" || failure.kind === "invalid-input";
}
