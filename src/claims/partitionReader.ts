/**
 * Maintains the fold of one partition from the log, across retention gaps.
 *
 * A reader that starts after the first records have expired has only some of the claims, and would grant a key that
 * an expired record already granted. Its fold therefore counts as complete only after a snapshot that reaches up to the
 * readable records, or once every claim that it may have missed has expired.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { FollowStream, StreamReader } from "../log/logAccess.js";
import type { LogEntry, StreamName } from "../log/record.js";
import { ClaimFold, type ClaimLifetimes } from "./claimFold.js";
import {
    type ClaimDecision,
    claimsSnapshotKind,
    type ClaimsSnapshotPart,
    claimsSnapshotSchema,
} from "./claimOperation.js";

/** Options of a partition's reader. */
export interface PartitionReaderOptions {
    readonly partition: number;
    readonly follow: FollowStream;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly lifetimes: ClaimLifetimes;
    /** Receives the decisions on the operations of an entry. Called only while the fold is complete. */
    readonly onDecisions: (decisions: readonly ClaimDecision[], recordId: string) => void;
}

/** Returns the stream of a partition. */
export function getClaimsStream(partition: number): StreamName {
    return `claims-${partition}`;
}

/** Follows one partition. */
export class PartitionReader {
    readonly #options: PartitionReaderOptions;
    #reader: StreamReader;
    #fold: ClaimFold;
    /** Undefined while the fold is complete; otherwise the first offset that could be read after the gap. */
    #gapEnd: number | undefined;
    /** Log time of the first entry after the gap. All missing entries are older. */
    #missingBefore: number | undefined;
    #snapshotParts = new Map<string, ClaimsSnapshotPart[]>();
    #lastSnapshotAt: number;
    #lastEntryAt: number;
    #isStopped = false;

    constructor(options: PartitionReaderOptions) {
        this.#options = options;
        this.#fold = new ClaimFold(options.lifetimes);
        this.#lastSnapshotAt = options.clock.monotonic();
        this.#lastEntryAt = options.clock.monotonic();
        this.#reader = this.#createReader(0);
    }

    /** Starts reading. */
    start(): void {
        this.#reader.start();
    }

    /** Stops reading. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.#reader.stop();
    }

    /** Returns the fold, or undefined while it is incomplete. */
    getFold(): ClaimFold | undefined {
        return this.#gapEnd === undefined ? this.#fold : undefined;
    }

    /** Returns the milliseconds since a complete snapshot of the partition was last read, or since the start. */
    getSnapshotAge(): number {
        return this.#options.clock.monotonic() - this.#lastSnapshotAt;
    }

    /** Returns the milliseconds since an entry was last read, or since the start. */
    getEntryAge(): number {
        return this.#options.clock.monotonic() - this.#lastEntryAt;
    }

    #createReader(from: number): StreamReader {
        return this.#options.follow({
            stream: getClaimsStream(this.#options.partition),
            from,
            onEntry: entry => this.#handleEntry(entry),
            onGap: earliest => this.#handleGap(earliest),
        });
    }

    #handleGap(earliest: number): void {
        this.#options.journal.write(events.claimsGap, { partition: this.#options.partition, earliest });
        this.#fold = new ClaimFold(this.#options.lifetimes);
        this.#gapEnd = earliest;
        this.#missingBefore = undefined;
        this.#snapshotParts.clear();
    }

    #handleEntry(entry: LogEntry): void {
        this.#lastEntryAt = this.#options.clock.monotonic();
        const decisions = this.#fold.apply(entry);
        if (this.#gapEnd === undefined) {
            this.#options.onDecisions(decisions, entry.record.id);
        }
        else {
            this.#missingBefore ??= entry.time;
            this.#markCompleteByAge();
        }
        if (entry.record.kind === claimsSnapshotKind) {
            this.#handleSnapshotPart(entry.record.body);
        }
    }

    #markCompleteByAge(): void {
        const { runMilliseconds, pinMilliseconds } = this.#options.lifetimes;
        const age = this.#fold.getLogTime() - (this.#missingBefore ?? this.#fold.getLogTime());
        if (age > Math.max(runMilliseconds, pinMilliseconds)) {
            this.#gapEnd = undefined;
        }
    }

    #handleSnapshotPart(body: unknown): void {
        const parsed = claimsSnapshotSchema.safeParse(body);
        if (!parsed.success) {
            return;
        }
        const parts = this.#snapshotParts.get(parsed.data.snapshot) ?? [];
        if (parts.some(part => part.part === parsed.data.part)) {
            return;
        }
        parts.push(parsed.data);
        this.#snapshotParts.set(parsed.data.snapshot, parts);
        if (parts.length === parsed.data.parts) {
            this.#snapshotParts.clear();
            this.#handleSnapshot(parts);
        }
    }

    #handleSnapshot(parts: readonly ClaimsSnapshotPart[]): void {
        this.#lastSnapshotAt = this.#options.clock.monotonic();
        const covers = parts[0].covers;
        // A complete fold is never replaced: a snapshot by a slow writer is older and would move it back. A snapshot
        // that omits records between the offset that it covers and the first readable one would lead to the same gap
        // again.
        if (this.#gapEnd === undefined || covers < this.#gapEnd - 1 || this.#isStopped) {
            return;
        }
        this.#fold = ClaimFold.fromSnapshot(parts, this.#options.lifetimes);
        this.#gapEnd = undefined;
        this.#options.journal.write(events.claimsRestored, { partition: this.#options.partition, covers });
        const previousReader = this.#reader;
        this.#reader = this.#createReader(covers + 1);
        this.#reader.start();
        void previousReader.stop();
    }
}
