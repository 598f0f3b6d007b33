/**
 * Writes snapshots of the control stream well before the records that they cover expire.
 */
import { randomUUID } from "node:crypto";
import { type Clock, RepeatedTask } from "../common/index.js";
import type { SnapshotWriter } from "../configuration/index.js";
import { type ControlReader, controlSnapshotKind, type LeaseHolder } from "../control/index.js";
import type { AppendRecord } from "../log/logAccess.js";

const checkIntervalMilliseconds = 1000;
const snapshotFormat = 1;

/** Options of the writer. */
export interface ControlSnapshotWriterOptions {
    readonly clock: Clock;
    readonly control: ControlReader;
    readonly configurationSnapshotWriter: SnapshotWriter;
    readonly lease: LeaseHolder;
    readonly append: AppendRecord;
    /** Name of this entry. */
    readonly writer: string;
    readonly intervalMilliseconds: number;
}

/** Writes snapshots of both streams while this entry holds the lease. */
export class ControlSnapshotWriter {
    readonly #options: ControlSnapshotWriterOptions;
    readonly #task: RepeatedTask;
    #writtenAt: number;

    constructor(options: ControlSnapshotWriterOptions) {
        this.#options = options;
        this.#writtenAt = options.clock.monotonic();
        this.#task = new RepeatedTask({ run: () => this.#writeIfDue(), pauseMilliseconds: checkIntervalMilliseconds });
    }

    /** Starts writing snapshots. */
    start(): void {
        this.#task.start();
    }

    /** Stops writing snapshots. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    async #writeIfDue(): Promise<void> {
        const { clock, lease, intervalMilliseconds, configurationSnapshotWriter } = this.#options;
        if (lease.getFencingToken() === undefined) {
            return;
        }
        await configurationSnapshotWriter.writeIfDue();
        if (clock.monotonic() - this.#writtenAt < intervalMilliseconds) {
            return;
        }
        if ((await this.#writeControl()).isOk()) {
            this.#writtenAt = clock.monotonic();
        }
    }

    #writeControl() {
        const { control, append, writer } = this.#options;
        return append("control", {
            id: randomUUID(),
            kind: controlSnapshotKind,
            format: snapshotFormat,
            writer,
            body: control.exportState(),
        });
    }
}
