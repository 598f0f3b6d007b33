/**
 * Decides the claims of one partition: appends them to the log in batches, and answers by the order of the log.
 *
 * Safety does not depend on collectors. A collector that is not the partition's own, or a second one at the same time,
 * writes the same operations again, and the fold ignores repeats. A wrong collector therefore costs appends and time,
 * but can never grant a key twice.
 */
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { type AppendRecord, type FollowStream, isCertainlyNotAppended } from "../log/logAccess.js";
import type { LogRecord } from "../log/record.js";
import { ClaimFailure } from "./claimFailure.js";
import { type ClaimLifetimes, defaultLifetimes } from "./claimFold.js";
import {
    type ClaimDecision,
    type ClaimOperation,
    claimsFormat,
    claimsKind,
    claimsSnapshotKind,
    getPurpose,
} from "./claimOperation.js";
import { getClaimsStream, PartitionReader } from "./partitionReader.js";
import { SnapshotWriter } from "./snapshotWriter.js";
import { UnconfirmedReleases } from "./unconfirmedReleases.js";

const defaultBatchMilliseconds = 4;
const defaultMinAppendIntervalMilliseconds = 40;
const defaultDecisionTimeoutMilliseconds = 2_000;
const retryPauseMilliseconds = 100;
/** A pin older than this fraction of its lifetime is renewed in the log at its next use. */
const pinRenewalAgeFraction = 0.5;
/** A pin that could not be renewed remains usable up to this fraction of its lifetime. */
const maxPinAgeFraction = 0.75;
const maxOperationsPerRecord = 500;
const maxBytesPerRecord = 200_000;

/** Options of a collector. */
export interface CollectorOptions {
    readonly partition: number;
    readonly append: AppendRecord;
    readonly follow: FollowStream;
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this process, used as the writer of its records. */
    readonly writer: string;
    readonly lifetimes?: ClaimLifetimes;
    /** How long an operation waits for others to share its record. */
    readonly batchMilliseconds?: number;
    /** Minimum time between two records of this partition, which keeps the site below the log's rate limit. */
    readonly minAppendIntervalMilliseconds?: number;
    /** Timeout of an operation. */
    readonly decisionTimeoutMilliseconds?: number;
    /** Interval of snapshots; must be well below the retention of the log. */
    readonly snapshotIntervalMilliseconds?: number;
    /** Returns whether this node writes the snapshots of the partition. */
    readonly isDesignated?: () => boolean;
    readonly createId?: () => string;
}

interface PendingOperation {
    readonly operation: ClaimOperation;
    readonly deadline: number;
    readonly resolve: (result: Result<ClaimDecision, ClaimFailure>) => void;
    timer: NodeJS.Timeout | undefined;
    mayHaveTakenEffect: boolean;
    isDone: boolean;
}

/** Collects and decides the claims of one partition. */
export class Collector {
    readonly #options: CollectorOptions;
    readonly #reader: PartitionReader;
    readonly #snapshots: SnapshotWriter;
    readonly #createId: () => string;
    /** Pending operations by kind and identifier, since a claim and its release have the same identifier. */
    readonly #pending = new Map<string, PendingOperation[]>();
    readonly #unconfirmedReleases = new UnconfirmedReleases();
    readonly #queue: PendingOperation[] = [];
    #timer: NodeJS.Timeout | undefined;
    #isAppending = false;
    #lastAppendAt = Number.NEGATIVE_INFINITY;
    #lastUsedAt: number;
    #isStopped = false;

    constructor(options: CollectorOptions) {
        this.#options = options;
        this.#createId = options.createId ?? randomUUID;
        this.#lastUsedAt = options.clock.monotonic();
        this.#reader = new PartitionReader({
            partition: options.partition,
            follow: options.follow,
            clock: options.clock,
            journal: options.journal,
            lifetimes: options.lifetimes ?? defaultLifetimes,
            onDecisions: decisions => this.#resolveDecided(decisions),
        });
        this.#snapshots = new SnapshotWriter({
            reader: this.#reader,
            createId: this.#createId,
            createRecord: part => this.#createRecord(claimsSnapshotKind, part),
            append: record => this.#appendOrWait(record),
            isDesignated: options.isDesignated,
            intervalMilliseconds: options.snapshotIntervalMilliseconds,
        });
    }

    /** Starts following the partition. */
    start(): void {
        this.#reader.start();
        this.#snapshots.start();
    }

    /** Stops following the partition. Pending operations fail as unavailable. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        clearTimeout(this.#timer);
        this.#snapshots.stop();
        for (const pending of [...this.#pending.values()].flat()) {
            this.#resolve(pending, err(new ClaimFailure(pending.mayHaveTakenEffect)));
        }
        await this.#reader.stop();
    }

    /** Returns the milliseconds since the last operation was requested. */
    getIdleTime(): number {
        return this.#options.clock.monotonic() - this.#lastUsedAt;
    }

    /**
     * Decides an operation by the order of the log.
     * @param operation - The operation. A repeat with the same identifier is the same operation.
     */
    decide(operation: ClaimOperation): Promise<Result<ClaimDecision, ClaimFailure>> {
        this.#lastUsedAt = this.#options.clock.monotonic();
        const known = this.#decideFromReleases(operation) ?? this.#decideFromFold(operation);
        if (known !== undefined) {
            return Promise.resolve(ok(known));
        }
        if (this.#isStopped) {
            return Promise.resolve(err(new ClaimFailure(false)));
        }
        if (operation.kind === "release") {
            this.#unconfirmedReleases.add(operation);
        }
        return this.#enqueue(operation);
    }

    #enqueue(operation: ClaimOperation): Promise<Result<ClaimDecision, ClaimFailure>> {
        const timeoutMilliseconds = this.#options.decisionTimeoutMilliseconds ?? defaultDecisionTimeoutMilliseconds;
        return new Promise(resolve => {
            const pending: PendingOperation = {
                operation,
                deadline: this.#options.clock.monotonic() + timeoutMilliseconds,
                resolve,
                timer: undefined,
                mayHaveTakenEffect: false,
                isDone: false,
            };
            const pendingKey = getPendingKey(operation.kind, operation.id);
            this.#pending.set(pendingKey, [...this.#pending.get(pendingKey) ?? [], pending]);
            pending.timer = setTimeout(() => this.#handleTimeout(pending), timeoutMilliseconds);
            this.#queue.push(pending);
            this.#schedule(this.#options.batchMilliseconds ?? defaultBatchMilliseconds);
        });
    }

    /**
     * Answers an operation that needs no record.
     *
     * A key that another claim holds or has completed is answered from the fold: if the fold is behind, the caller
     * receives "in progress" for slightly too long, and nothing runs. A grant is never answered from the fold. A
     * claimant that was paused for days would find its own claim in a fold as old as the pause, while the key has
     * expired and run elsewhere.
     */
    #decideFromFold(operation: ClaimOperation): ClaimDecision | undefined {
        const fold = this.#reader.getFold();
        if (fold === undefined || operation.kind !== "claim" || fold.get(operation.key) === undefined) {
            return undefined;
        }
        if (getPurpose(operation.key) === "pin") {
            return this.#readPin(operation, pinRenewalAgeFraction);
        }
        const decision = fold.decide(operation);
        return decision.verdict === "granted" ? undefined : decision;
    }

    /**
     * Answers a claim on a key that its claimant has released, unless the key is known to be held by another claim.
     *
     * The releases are written again, as the claimant may be gone before the log accepts them.
     */
    #decideFromReleases({ kind, id, key, value }: ClaimOperation): ClaimDecision | undefined {
        const releases = this.#unconfirmedReleases.get(key);
        const holding = this.#reader.getFold()?.get(key);
        const isReleased = holding === undefined || releases.some(release => release.id === holding.id);
        if (kind !== "claim" || releases.length === 0 || !isReleased || this.#isStopped) {
            return undefined;
        }
        for (const release of releases) {
            if (!this.#pending.has(getPendingKey("release", release.id))) {
                void this.#enqueue(release);
            }
        }
        return { kind, id, verdict: "releasing", value };
    }

    /**
     * Answers from a pin that is younger than a fraction of its lifetime, so that it cannot have expired while this
     * fold lagged behind the log.
     */
    #readPin(operation: ClaimOperation, maxAgeFraction: number): ClaimDecision | undefined {
        const fold = this.#reader.getFold();
        const age = fold?.getPinAgeFraction(operation.key, this.#reader.getEntryAge());
        return age !== undefined && age < maxAgeFraction ? fold?.decide(operation) : undefined;
    }

    /** Handles the timeout of an operation. Sessions continue with their known pins while the log is unavailable. */
    #handleTimeout(pending: PendingOperation): void {
        const { operation, mayHaveTakenEffect } = pending;
        const isPin = operation.kind === "claim" && getPurpose(operation.key) === "pin";
        const known = isPin ? this.#readPin(operation, maxPinAgeFraction) : undefined;
        this.#resolve(pending, known === undefined ? err(new ClaimFailure(mayHaveTakenEffect)) : ok(known));
    }

    #resolveDecided(decisions: readonly ClaimDecision[]): void {
        for (const decision of decisions) {
            if (decision.kind === "release") {
                this.#unconfirmedReleases.remove(decision.id);
            }
            for (const pending of this.#pending.get(getPendingKey(decision.kind, decision.id)) ?? []) {
                this.#resolve(pending, ok(decision));
            }
        }
    }

    #resolve(pending: PendingOperation, result: Result<ClaimDecision, ClaimFailure>): void {
        if (pending.isDone) {
            return;
        }
        pending.isDone = true;
        clearTimeout(pending.timer);
        const pendingKey = getPendingKey(pending.operation.kind, pending.operation.id);
        const others = (this.#pending.get(pendingKey) ?? []).filter(other => other !== pending);
        if (others.length === 0) {
            this.#pending.delete(pendingKey);
        }
        else {
            this.#pending.set(pendingKey, others);
        }
        pending.resolve(result);
    }

    #schedule(waitMilliseconds: number): void {
        if (this.#timer !== undefined || this.#isAppending || this.#isStopped || this.#queue.length === 0) {
            return;
        }
        const interval = this.#options.minAppendIntervalMilliseconds ?? defaultMinAppendIntervalMilliseconds;
        const minDelayMilliseconds = this.#lastAppendAt + interval - this.#options.clock.monotonic();
        this.#timer = setTimeout(() => {
            this.#timer = undefined;
            void this.#appendBatch();
        }, Math.max(waitMilliseconds, minDelayMilliseconds));
    }

    async #appendBatch(): Promise<void> {
        const batch = this.#takeBatch();
        if (batch.length > 0) {
            this.#isAppending = true;
            const operations = batch.map(pending => pending.operation);
            await this.#appendWithRetries(this.#createRecord(claimsKind, { operations }), batch);
            this.#isAppending = false;
        }
        this.#schedule(0);
    }

    #takeBatch(): readonly PendingOperation[] {
        const batch: PendingOperation[] = [];
        let bytes = 0;
        while (this.#queue.length > 0 && batch.length < maxOperationsPerRecord) {
            const size = Buffer.byteLength(JSON.stringify(this.#queue[0].operation));
            if (batch.length > 0 && bytes + size > maxBytesPerRecord) {
                break;
            }
            const pending = this.#queue.shift();
            if (pending !== undefined && !this.#isExpired(pending)) {
                batch.push(pending);
                bytes += size;
            }
        }
        return batch;
    }

    /**
     * Appends a record repeatedly under the same identifier until the log accepts it or all its operations have timed
     * out. A process that was paused in between must not write an operation whose caller already received a failure, so
     * the deadline is checked right before each append.
     */
    async #appendWithRetries(record: LogRecord, batch: readonly PendingOperation[]): Promise<void> {
        while (!this.#isStopped && batch.some(pending => !this.#isExpired(pending))) {
            const previousFlags = batch.map(pending => pending.mayHaveTakenEffect);
            for (const pending of batch) {
                pending.mayHaveTakenEffect = true;
            }
            this.#lastAppendAt = this.#options.clock.monotonic();
            const appended = await this.#options.append(getClaimsStream(this.#options.partition), record);
            if (appended.isOk()) {
                return;
            }
            if (isCertainlyNotAppended(appended.error)) {
                for (const [index, pending] of batch.entries()) {
                    pending.mayHaveTakenEffect = previousFlags[index];
                }
            }
            await this.#waitBeforeRetry(appended.error);
        }
    }

    async #waitBeforeRetry(failure: Failure): Promise<void> {
        this.#options.journal.write(events.claimsAppendFailed, {
            partition: this.#options.partition,
            cause: failure.message,
        });
        const retryAfterMilliseconds = failure.retryAfterMilliseconds ?? retryPauseMilliseconds;
        await new Promise(resolve =>
            setTimeout(resolve, Math.min(retryAfterMilliseconds, defaultDecisionTimeoutMilliseconds))
        );
    }

    #isExpired(pending: PendingOperation): boolean {
        return pending.isDone || this.#options.clock.monotonic() >= pending.deadline;
    }

    /** Appends a record once. Waits after a failure, so that the caller may repeat it. */
    async #appendOrWait(record: LogRecord): Promise<boolean> {
        const appended = await this.#options.append(getClaimsStream(this.#options.partition), record);
        if (appended.isErr()) {
            await this.#waitBeforeRetry(appended.error);
        }
        return appended.isOk();
    }

    #createRecord(kind: string, body: unknown): LogRecord {
        return { id: this.#createId(), kind, format: claimsFormat, writer: this.#options.writer, body };
    }
}

function getPendingKey(kind: ClaimOperation["kind"], id: string): string {
    return `${kind} ${id}`;
}
