/**
 * Writes snapshots of the control stream well before the records that they cover expire.
 */
import { randomUUID } from "node:crypto";
import { type Clock, RepeatedTask } from "../common/index.js";
import type { SnapshotWriter } from "../configuration/index.js";
import { type ControlReader, controlSnapshotKind, type LeaseHolder } from "../control/index.js";
import type { AppendRecord } from "../log/logAccess.js";

const checkPauseMilliseconds = 1000;
const snapshotFormat = 1;

/** What the writer works with. */
export interface ControlSnapshotsOptions {
    readonly clock: Clock;
    readonly control: ControlReader;
    readonly configurationSnapshots: SnapshotWriter;
    readonly lease: LeaseHolder;
    readonly append: AppendRecord;
    /** Name of this entry. */
    readonly writer: string;
    readonly intervalMilliseconds: number;
}

/** Has snapshots of both streams written while this entry holds the lease. */
export class ControlSnapshots {
    readonly #options: ControlSnapshotsOptions;
    readonly #task: RepeatedTask;
    #writtenAt: number;

    constructor(options: ControlSnapshotsOptions) {
        this.#options = options;
        this.#writtenAt = options.clock.monotonic();
        this.#task = new RepeatedTask({ run: () => this.#writeDue(), pauseMilliseconds: checkPauseMilliseconds });
    }

    /** Starts to write. */
    start(): void {
        this.#task.start();
    }

    /** Stops writing. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    async #writeDue(): Promise<void> {
        const { clock, lease, intervalMilliseconds, configurationSnapshots } = this.#options;
        if (lease.getFencingToken() === undefined) {
            return;
        }
        await configurationSnapshots.writeIfDue();
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
