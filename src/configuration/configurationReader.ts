/**
 * Keeps a process's configuration up to date: from the log, from snapshots in the log, and from peers while the log is
 * unavailable.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { type LogClient, type LogEntry, LogFollower } from "../log/index.js";
import type { Configuration } from "./configuration.js";
import { ConfigurationFold } from "./configurationFold.js";
import { snapshotBodySchema } from "./publication.js";
import type { RecordResult } from "./recordResult.js";
import { getRequiredFormat } from "./treeSchema.js";

/** Maximum number of records to retain while waiting for a snapshot. A snapshot is written every few hundred records. */
const maxPendingRecords = 4_096;

/** Options of a configuration reader. */
export interface ConfigurationReaderOptions {
    readonly client: LogClient;
    readonly clock: Clock;
    readonly journal?: Journal;
    /** Called whenever another configuration comes into force. */
    readonly onChange?: (configuration: Configuration) => void;
    /** Called for every record that was folded. */
    readonly onResult?: (result: RecordResult) => void;
    /** Timeout of a long poll of the log, in milliseconds. */
    readonly waitMilliseconds?: number;
}

/** Represents a folded state with the offset that it covers. */
export interface ConfigurationState {
    readonly offset: number;
    readonly state: unknown;
}

/** Follows the `config` stream. Its offset never decreases. */
export class ConfigurationReader {
    readonly #options: ConfigurationReaderOptions;
    readonly #follower: LogFollower;
    #fold = new ConfigurationFold();
    // Records that were received after a gap. They are folded once a snapshot covers the gap.
    #pending: LogEntry[] = [];
    #isIncompleteReported = false;
    #isUnreadableReported = false;
    #isAheadReported = false;
    #confirmedAt = -Infinity;
    #snapshotOffset = 0;

    constructor(options: ConfigurationReaderOptions) {
        this.#options = options;
        this.#follower = new LogFollower({
            client: options.client,
            stream: "config",
            from: 0,
            clock: options.clock,
            journal: options.journal,
            waitMilliseconds: options.waitMilliseconds,
            onEntry: entry => this.#handleEntry(entry),
            onGap: earliest => this.#handleGap(earliest),
            onCaughtUp: requestedAt => this.#handleCaughtUp(requestedAt),
        });
    }

    /** Starts to follow the log. */
    start(): void {
        this.#follower.start();
    }

    /** Stops following the log. */
    async stop(): Promise<void> {
        await this.#follower.stop();
    }

    /** Returns the configuration in force. */
    getConfiguration(): Configuration {
        return this.#fold.getConfiguration();
    }

    /** Returns the offset of the next record to fold. */
    getOffset(): number {
        return this.#fold.getOffset();
    }

    /** Returns the latest results of publications, in log order. */
    getHistory(): readonly RecordResult[] {
        return this.#fold.getHistory();
    }

    /** Returns the time since the last response of the log, in milliseconds. */
    getMillisecondsSinceContact(): number {
        return this.#follower.getContactAge();
    }

    /**
     * Returns the time since the configuration was last confirmed as up to date, in milliseconds. It is infinite before
     * the first confirmation.
     */
    getAge(): number {
        return this.#options.clock.monotonic() - this.#confirmedAt;
    }

    /** Returns the number of records after the latest snapshot in the log. */
    getRecordsSinceSnapshot(): number {
        return this.#fold.getOffset() - this.#snapshotOffset;
    }

    /** Returns whether records are missing or unreadable, so that the configuration cannot be confirmed from the log. */
    isIncomplete(): boolean {
        return this.#pending.length > 0 || this.#fold.isStopped() || this.#follower.getOffset() > this.getOffset();
    }

    /**
     * Records that the configuration was up to date at a given time, as reported by a peer at the same offset.
     * @param confirmedAt - This process's monotonic time before the request to the peer was sent, in milliseconds.
     */
    confirm(confirmedAt: number): void {
        this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }

    /** Returns the format that a reader of the state must support. */
    getFormat(): number {
        return getRequiredFormat(this.getConfiguration().getTree().keys());
    }

    /** Returns the state, to be sent to a peer. */
    exportState(): ConfigurationState {
        return { offset: this.#fold.getOffset(), state: this.#fold.toSnapshot() };
    }

    /**
     * Adopts a peer's state if it is newer than the state of this process.
     *
     * The decision uses the offset in the state itself. If the reported offset were used, a state that is older than
     * reported could revert a change that is in force here; an operator would notice a withdrawn version that answers
     * again.
     * @param state - The peer's state.
     * @param offset - The offset that the state covers, as reported by the peer.
     * @returns Whether the state was adopted.
     */
    importState(state: unknown, offset: number): boolean {
        // Avoids parsing a state that is reported as not newer. `#adopt` checks the offset in the state.
        if (offset <= this.getOffset()) {
            return false;
        }
        const fold = ConfigurationFold.fromSnapshot(state);
        if (fold.isErr()) {
            this.#options.journal?.write(events.configurationOfferRefused, { offset, cause: fold.error.message });
            return false;
        }
        if (!this.#adopt(fold.value)) {
            return false;
        }
        this.#options.journal?.write(events.configurationOffered, { offset: this.getOffset() });
        return true;
    }

    #handleEntry(entry: LogEntry): void {
        if (entry.record.kind === "snapshot") {
            this.#handleSnapshot(entry);
        }
        const before = this.#fold.getConfiguration();
        const result = this.#fold.apply(entry);
        if (result.outcome === "gap") {
            this.#pending.push(entry);
            // Only the latest records are needed, because a snapshot covers the earlier ones.
            this.#pending = this.#pending.slice(-maxPendingRecords);
            return;
        }
        this.#report(result);
        this.#notify(before);
    }

    #handleSnapshot(entry: LogEntry): void {
        const body = snapshotBodySchema.safeParse(entry.record.body);
        if (!body.success || body.data.covers > entry.offset) {
            return;
        }
        this.#snapshotOffset = Math.max(this.#snapshotOffset, body.data.covers);
        // Avoids parsing a state that is not needed. A late snapshot from a slow writer cannot revert this reader, because
        // a state must reach the first pending record, and because `#adopt` rejects older states.
        if (body.data.covers <= this.getOffset()) {
            return;
        }
        const fold = ConfigurationFold.fromSnapshot(body.data.state);
        const first = this.#pending[0]?.offset ?? entry.offset;
        if (fold.isOk() && fold.value.getOffset() >= first && this.#adopt(fold.value)) {
            this.#options.journal?.write(events.configurationRecovered, { offset: this.getOffset() });
        }
    }

    /** Puts a newer state in force and folds the pending records after it. */
    #adopt(fold: ConfigurationFold): boolean {
        if (fold.getOffset() <= this.getOffset()) {
            return false;
        }
        const before = this.#fold.getConfiguration();
        this.#fold = fold;
        this.#isIncompleteReported = false;
        this.#isUnreadableReported = false;
        const pending = this.#pending;
        this.#pending = [];
        for (const entry of pending) {
            const result = fold.apply(entry);
            if (result.outcome === "gap") {
                this.#pending.push(entry);
            }
        }
        this.#notify(before);
        return true;
    }

    #handleGap(earliest: number): void {
        this.#options.journal?.write(events.configurationGap, { expected: this.getOffset(), earliest });
    }

    #handleCaughtUp(requestedAt: number): void {
        if (this.#follower.getOffset() < this.getOffset()) {
            // The state was received from a peer, and the log ends before the state's offset: the log lost records, or the
            // URL names another log. Confirming here would mark a configuration as up to date that this log does not
            // contain.
            this.#reportAhead();
            return;
        }
        if (!this.isIncomplete()) {
            this.confirm(requestedAt);
            return;
        }
        if (!this.#isIncompleteReported && !this.#fold.isStopped()) {
            this.#isIncompleteReported = true;
            this.#options.journal?.write(events.configurationIncomplete, { offset: this.getOffset() });
        }
    }

    #reportAhead(): void {
        if (!this.#isAheadReported) {
            this.#isAheadReported = true;
            const fields = { offset: this.getOffset(), end: this.#follower.getOffset() };
            this.#options.journal?.write(events.configurationAhead, fields);
        }
    }

    #report(result: RecordResult): void {
        const fields = { offset: result.offset, author: result.author, reason: result.reason };
        if (result.outcome === "accepted") {
            this.#options.journal?.write(events.configurationAccepted, fields);
        }
        else if (result.outcome === "rejected") {
            const beatenBy = result.beatenBy?.offset;
            this.#options.journal?.write(events.configurationRejected, { ...fields, beatenBy });
        }
        else if (result.outcome === "unreadable" && !this.#isUnreadableReported) {
            this.#isUnreadableReported = true;
            this.#options.journal?.write(events.configurationUnreadable, { offset: result.offset });
        }
        this.#options.onResult?.(result);
    }

    #notify(before: Configuration): void {
        if (this.#fold.getConfiguration() !== before) {
            this.#options.onChange?.(this.#fold.getConfiguration());
        }
    }
}
