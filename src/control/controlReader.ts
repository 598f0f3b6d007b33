/**
 * Follows the `control` stream and maintains the folds of leases and roll-outs, also after retention and outages.
 */
import { z } from "zod";
import type { LogEntry } from "../log/index.js";
import type { FollowStream, StreamReader } from "../log/logAccess.js";
import type { LeaseFold, LeaseState } from "./leaseFold.js";
import type { RolloutSnapshot } from "./rollout.js";
import type { RolloutFold } from "./rolloutFold.js";

/** Kind of the record that holds a snapshot of the control stream's folds. */
export const controlSnapshotKind = "control-snapshot";

/** Maximum number of records in memory while a snapshot is awaited. */
const maxPendingEntries = 4096;

const snapshotSchema = z.object({
    covers: z.number().int(),
    leases: z.array(z.custom<LeaseState>(value => typeof value === "object")),
    rollouts: z.custom<RolloutSnapshot>(value => typeof value === "object"),
});

/** The folds of the control stream at an offset. */
export type ControlState = z.infer<typeof snapshotSchema>;

/** Options of a reader. */
export interface ControlReaderOptions {
    readonly follow: FollowStream;
    readonly leases: LeaseFold;
    readonly rollouts: RolloutFold;
}

/** Keeps the folds of leases and roll-outs up to date. */
export class ControlReader {
    readonly #leases: LeaseFold;
    readonly #rollouts: RolloutFold;
    readonly #stream: StreamReader;
    /** Records after a gap. They are folded once a snapshot covers the gap. */
    #pending: LogEntry[] = [];
    #hasGap = false;
    #nextOffset = 0;

    constructor(options: ControlReaderOptions) {
        this.#leases = options.leases;
        this.#rollouts = options.rollouts;
        this.#stream = options.follow({
            stream: "control",
            from: 0,
            onEntry: entry => this.#applyEntry(entry),
            onGap: () => {
                this.#hasGap = true;
            },
        });
    }

    /** Starts to follow the log. */
    start(): void {
        this.#stream.start();
    }

    /** Stops following the log. */
    stop(): Promise<void> {
        return this.#stream.stop();
    }

    /** Returns the offset of the next entry to fold. */
    getOffset(): number {
        return this.#nextOffset;
    }

    /** Returns the state, for a snapshot or a peer. */
    exportState(): ControlState {
        return {
            covers: this.#nextOffset,
            leases: [...this.#leases.getSnapshot()],
            rollouts: this.#rollouts.exportState(),
        };
    }

    /**
     * Imports a state if it is newer than the current one. Any other state is ignored: a snapshot of a slow writer must
     * not bring back a roll-out that was halted since.
     * @param state - The state, from a snapshot or a peer.
     * @returns Whether it was imported.
     */
    importState(state: unknown): boolean {
        const parsed = snapshotSchema.safeParse(state);
        if (!parsed.success || parsed.data.covers <= this.#nextOffset) {
            return false;
        }
        const { covers, leases, rollouts } = parsed.data;
        this.#leases.restore(covers - 1, leases);
        this.#rollouts.importState(rollouts);
        this.#nextOffset = covers;
        this.#hasGap = false;
        const pending = this.#pending;
        this.#pending = [];
        for (const entry of pending) {
            this.#applyEntry(entry);
        }
        return true;
    }

    #applyEntry(entry: LogEntry): void {
        if (entry.record.kind === controlSnapshotKind) {
            this.importState(entry.record.body);
        }
        if (entry.offset < this.#nextOffset) {
            return;
        }
        if (this.#hasGap || entry.offset > this.#nextOffset) {
            this.#hasGap = true;
            this.#addPending(entry);
            return;
        }
        // Leases come first: whether a roll-out's record is accepted depends on the fencing token at its offset.
        this.#leases.apply(entry);
        this.#rollouts.apply(entry);
        this.#nextOffset = entry.offset + 1;
    }

    #addPending(entry: LogEntry): void {
        this.#pending.push(entry);
        if (this.#pending.length > maxPendingEntries) {
            this.#pending.shift();
        }
    }
}
