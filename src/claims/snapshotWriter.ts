/**
 * Writes snapshots of a partition of claims, so that readers need no records that have expired from the log.
 */
import type { LogRecord } from "../log/record.js";
import type { ClaimsSnapshotPart } from "./claimOperation.js";
import type { PartitionReader } from "./partitionReader.js";

const maxAttempts = 5;
const maxItemsPerPart = 1_000;
const maxBytesPerPart = 150_000;
const defaultIntervalMilliseconds = 15 * 60_000;
/** How often the age of the last snapshot is checked, as a fraction of the interval. */
const checksPerInterval = 4;

/** Options of `SnapshotWriter`. */
export interface SnapshotWriterOptions {
    readonly reader: Pick<PartitionReader, "getFold" | "getSnapshotAge">;
    readonly createId: () => string;
    readonly createRecord: (part: ClaimsSnapshotPart) => LogRecord;
    /** Appends a record once, and waits after a failure. Returns whether the log accepted it. */
    readonly append: (record: LogRecord) => Promise<boolean>;
    /** Returns whether this node writes the snapshots of the partition. */
    readonly isDesignated?: () => boolean;
    /** Interval of snapshots; must be well below the retention of the log. */
    readonly intervalMilliseconds?: number;
}

/** Writes a snapshot when the last one is older than the interval. */
export class SnapshotWriter {
    readonly #options: SnapshotWriterOptions;
    readonly #intervalMilliseconds: number;
    #timer: NodeJS.Timeout | undefined;
    #isStopped = false;

    constructor(options: SnapshotWriterOptions) {
        this.#options = options;
        this.#intervalMilliseconds = options.intervalMilliseconds ?? defaultIntervalMilliseconds;
    }

    /** Starts checking the age of the last snapshot. */
    start(): void {
        this.#timer ??= setInterval(() => void this.#writeWhenDue(), this.#intervalMilliseconds / checksPerInterval);
        this.#timer.unref();
    }

    /** Stops writing. */
    stop(): void {
        this.#isStopped = true;
        clearInterval(this.#timer);
    }

    async #writeWhenDue(): Promise<void> {
        const { reader, isDesignated, createId, createRecord } = this.#options;
        const fold = reader.getFold();
        const isWriter = isDesignated?.() ?? true;
        if (
            fold === undefined || fold.getOffset() < 0 || !isWriter
            || reader.getSnapshotAge() < this.#intervalMilliseconds
        ) {
            return;
        }
        for (const part of fold.createSnapshot(createId(), maxItemsPerPart, maxBytesPerPart)) {
            if (!await this.#append(createRecord(part))) {
                // The next interval writes a complete new snapshot; readers ignore an incomplete one.
                return;
            }
        }
    }

    async #append(record: LogRecord): Promise<boolean> {
        for (let attempt = 0; attempt < maxAttempts && !this.#isStopped; attempt += 1) {
            if (await this.#options.append(record)) {
                return true;
            }
        }
        return false;
    }
}
