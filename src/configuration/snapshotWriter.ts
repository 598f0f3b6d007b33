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
    /** The longest pause between two snapshots; well under the log's retention. */
    readonly intervalMilliseconds: number;
    /** The most records that may lie after the newest snapshot. */
    readonly maxRecords?: number;
    readonly journal?: Journal;
}

/**
 * Writes a snapshot when one is due. Its caller holds the configuration lease; two that believe they hold it cost a
 * record, not safety, because a state depends on its offset alone and readers take none that covers less than they have.
 */
export class SnapshotWriter {
    readonly #options: SnapshotWriterOptions;
    #writtenAt = -Infinity;

    constructor(options: SnapshotWriterOptions) {
        this.#options = options;
    }

    /**
     * Appends a snapshot if enough time or records have passed since the newest one.
     * @returns The snapshot's offset, or undefined when none was due.
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
        // A reader with a hole would write a state that is older than the one that is needed.
        if (reader.isIncomplete() || reader.getOffset() === 0) {
            return false;
        }
        const isOld = clock.monotonic() - this.#writtenAt >= intervalMilliseconds;
        return isOld || reader.getRecordsSinceSnapshot() >= (maxRecords ?? defaultMaxRecords);
    }
}
