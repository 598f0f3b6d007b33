/**
 * Keeps a process's configuration current: from the log, from snapshots in it, and from peers while it is away.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { type LogClient, type LogEntry, LogFollower } from "../log/index.js";
import type { Configuration } from "./configuration.js";
import { ConfigurationFold } from "./configurationFold.js";
import { snapshotBodySchema } from "./publication.js";
import type { RecordResult } from "./recordResult.js";
import { getRequiredFormat } from "./treeSchema.js";

/** Records kept while a snapshot is awaited; a snapshot is written every few hundred. */
const maxPendingRecords = 4_096;

/** Options of a reader. */
export interface ConfigurationReaderOptions {
    readonly client: LogClient;
    readonly clock: Clock;
    readonly journal?: Journal;
    /** Told whenever another configuration is in force. */
    readonly onChange?: (configuration: Configuration) => void;
    /** Told about every record that was folded. */
    readonly onResult?: (verdict: RecordResult) => void;
    /** How long a long poll of the log may wait. */
    readonly waitMilliseconds?: number;
}

/** A folded state with the offset up to which it goes. */
export interface ConfigurationState {
    readonly offset: number;
    readonly state: unknown;
}

/** Follows the `config` stream. Its offset only ever grows. */
export class ConfigurationReader {
    readonly #options: ConfigurationReaderOptions;
    readonly #follower: LogFollower;
    #fold = new ConfigurationFold();
    // Records that came after a hole. They are folded once a snapshot covers the hole.
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
            onCaughtUp: askedAt => this.#handleCaughtUp(askedAt),
        });
    }

    /** Begins to follow the log. */
    start(): void {
        this.#follower.start();
    }

    /** Ends following the log. */
    async stop(): Promise<void> {
        await this.#follower.stop();
    }

    /** Returns the configuration in force. */
    getConfiguration(): Configuration {
        return this.#fold.getConfiguration();
    }

    /** Returns the offset to fold next. */
    getOffset(): number {
        return this.#fold.getOffset();
    }

    /** Returns the latest verdicts, the oldest first. */
    getHistory(): readonly RecordResult[] {
        return this.#fold.getHistory();
    }

    /** Returns the milliseconds since the log last answered. */
    getMillisecondsSinceContact(): number {
        return this.#follower.getContactAge();
    }

    /** Returns the milliseconds since the configuration was last confirmed as fresh; infinite before the first time. */
    getAge(): number {
        return this.#options.clock.monotonic() - this.#confirmedAt;
    }

    /** Returns how many records lie after the newest snapshot in the log. */
    getRecordsSinceSnapshot(): number {
        return this.#fold.getOffset() - this.#snapshotOffset;
    }

    /** Tells whether records are missing or unreadable, so that the configuration cannot be confirmed from the log. */
    isIncomplete(): boolean {
        return this.#pending.length > 0 || this.#fold.isStopped() || this.#follower.getOffset() > this.getOffset();
    }

    /**
     * Notes that the configuration was fresh at a moment, by the word of a peer that was at the same offset.
     * @param monotonic - This process's monotonic time before the peer was asked.
     */
    confirm(monotonic: number): void {
        this.#confirmedAt = Math.max(this.#confirmedAt, monotonic);
    }

    /** Returns the format that a reader of the state needs. */
    getFormat(): number {
        return getRequiredFormat(this.getConfiguration().getTree().keys());
    }

    /** Returns the state, to be handed to a peer. */
    exportState(): ConfigurationState {
        return { offset: this.#fold.getOffset(), state: this.#fold.toSnapshot() };
    }

    /**
     * Takes over a peer's state if it is newer than this one.
     *
     * The offset is read from the state itself: a state that is older than its label says would revert a change that is
     * in force here, which an operator would notice as a withdrawn version that answers again.
     * @param state - The peer's state.
     * @param offset - The offset that it is said to go up to.
     * @returns Whether it was taken over.
     */
    importState(state: unknown, offset: number): boolean {
        // Spares the reading of a state that is said to be no newer; the guard is in `#adopt`.
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
            // Only the newest are of use, because a snapshot covers what was before it.
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
        // Spares the reading of a state that is not needed; what keeps a late snapshot of a slow writer from taking the
        // reader back is that a state has to reach the first record kept, and `#adopt`.
        if (body.data.covers <= this.getOffset()) {
            return;
        }
        const fold = ConfigurationFold.fromSnapshot(body.data.state);
        const first = this.#pending[0]?.offset ?? entry.offset;
        if (fold.isOk() && fold.value.getOffset() >= first && this.#adopt(fold.value)) {
            this.#options.journal?.write(events.configurationRecovered, { offset: this.getOffset() });
        }
    }

    /** Puts a newer state in force and folds what came after it. */
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
            // The state came from a peer, and the log that was read to its end does not reach that far: it lost records
            // or is another log. Confirming here would call a configuration fresh that this log knows nothing about.
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
