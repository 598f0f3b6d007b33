/**
 * Records of the platform's append-only log, in the form of the log service.
 */

/** A record to append. */
export interface LogRecord {
    /** Unique identifier. A fold ignores further records with the same identifier. */
    readonly id: string;
    /** Kind, such as `publish`. Readers ignore unknown kinds. */
    readonly kind: string;
    /** Version of the record's format. A writer uses the newest one that every member reads. */
    readonly format: number;
    /** Name of the process or operator that wrote the record. */
    readonly writer: string;
    readonly body: unknown;
}

/** A record with its offset in a stream. */
export interface LogEntry {
    /** Position in the stream, counted from 0 without gaps. */
    readonly offset: number;
    /** Wall-clock milliseconds of the log service at the append. */
    readonly time: number;
    readonly record: LogRecord;
}

/** A page of a stream, as returned by one read. */
export interface LogPage {
    readonly entries: readonly LogEntry[];
    /** The offset from which to continue reading. */
    readonly next: number;
    /** The earliest offset that the log retains. */
    readonly earliest: number;
}

/** Names of the streams. Claims are partitioned: `claims-0`, `claims-1`, ... */
export type StreamName = "config" | "control" | "bills" | `claims-${number}`;
