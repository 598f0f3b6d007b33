/**
 * Writes snapshots of the configuration into the log before the records that they cover expire.
 */
import { ok, type Result } from "neverthrow";
import type { Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { LogClient } from "../log/index.js";
import type { ConfigurationReader } from "./configurationReader.js";
import { createSnapshotRecord } from "./publication.js";

const defaultMaxRecords = 500;

/** Options of a snapshot writer. */
export interface SnapshotWriterOptions {
    readonly client: LogClient;
    readonly reader: ConfigurationReader;
    readonly clock: Clock;
    /** Name of this process. */
    readonly writer: string;
    /** Maximum interval between two snapshots. It must be well below the log's retention. */
    readonly intervalMilliseconds: number;
    /** Maximum number of records after the latest snapshot. */
    readonly maxRecords?: number;
    readonly journal?: Journal;
}

/**
 * Writes a snapshot when one is due. The calling process should hold the configuration lease. If two processes assume
 * that they hold it, an extra record is written but no state is corrupted: a state depends on its offset alone, and
 * readers adopt no state that covers less than their own.
 */
export class SnapshotWriter {
    readonly #options: SnapshotWriterOptions;
    #writtenAt = -Infinity;

    constructor(options: SnapshotWriterOptions) {
        this.#options = options;
    }

    /**
     * Appends a snapshot if enough time has passed or enough records were appended since the latest one.
     * @returns The snapshot's offset, or undefined if none was due.
     */
    async writeIfDue(): Promise<Result<number | undefined, Failure>> {
        if (!this.#isDue()) {
            return ok(undefined);
        }
        const { reader, client, writer, journal, clock } = this.#options;
        const { offset, state } = reader.exportState();
        const appended = await client.append("config", createSnapshotRecord(offset, state, writer));
        if (appended.isErr()) {
            journal?.write(events.configurationSnapshotFailed, { offset, cause: appended.error.message });
            return appended;
        }
        this.#writtenAt = clock.monotonic();
        journal?.write(events.configurationSnapshotWritten, { covers: offset, offset: appended.value });
        return appended;
    }

    #isDue(): boolean {
        const { reader, clock, intervalMilliseconds, maxRecords } = this.#options;
        // A reader with a gap would write a state that is too old to cover the gap.
        if (reader.isIncomplete() || reader.getOffset() === 0) {
            return false;
        }
        const isOld = clock.monotonic() - this.#writtenAt >= intervalMilliseconds;
        return isOld || reader.getRecordsSinceSnapshot() >= (maxRecords ?? defaultMaxRecords);
    }
}
