/**
 * Records of the platform's append-only log, as the log service shows them.
 */

/** What a writer appends. */
export interface LogRecord {
    /** Unique. A fold ignores a second record with the same identifier. */
    readonly id: string;
    /** Kind, such as `publish`; readers pass over kinds that they do not know. */
    readonly kind: string;
    /** Version of the record's format. A writer uses the newest that every member reads. */
    readonly format: number;
    /** Name of the process or operator that wrote it. */
    readonly writer: string;
    readonly body: unknown;
}

/** A record with its place in a stream. */
export interface LogEntry {
    /** Place in the stream, from 0 without gaps. */
    readonly offset: number;
    /** Wall-clock milliseconds of the log service at the append. */
    readonly time: number;
    readonly record: LogRecord;
}

/** A part of a stream, as one read returns it. */
export interface LogPage {
    readonly entries: readonly LogEntry[];
    /** The offset to read from next. */
    readonly next: number;
    /** The oldest offset that the log still keeps. */
    readonly earliest: number;
}

/** Names of the streams. Claims are split over partitions: `claims-0`, `claims-1`, ... */
export type StreamName = "config" | "control" | "bills" | `claims-${number}`;
