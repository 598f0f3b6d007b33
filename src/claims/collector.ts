/**
 * Decides the claims of one partition: writes them to the log in batches, and answers from what the log's order says.
 *
 * Nothing here is trusted. A collector that is not the partition's own, or a second one beside it, writes the same
 * operations a second time, and the fold counts only the first of each. So a mistaken collector costs appends and
 * time, and can never grant a key twice.
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

const defaultBatchMilliseconds = 4;
const defaultIntervalMilliseconds = 40;
const defaultDecideMilliseconds = 2_000;
const retryMilliseconds = 100;
/** A pin that has spent this share of its lifetime is renewed in the log by its next use. */
const pinRenewalAge = 0.5;
/** A pin that could not be renewed is still trusted up to this share. */
const pinTrustAge = 0.75;
const snapshotAttempts = 5;
const operationsInRecord = 500;
const bytesInRecord = 200_000;
const snapshotItemsInPart = 1_000;
const snapshotBytesInPart = 150_000;
const defaultSnapshotMilliseconds = 15 * 60_000;

/** Options of a collector. */
export interface CollectorOptions {
    readonly partition: number;
    readonly append: AppendRecord;
    readonly follow: FollowStream;
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this process, written into its records. */
    readonly writer: string;
    readonly lifetimes?: ClaimLifetimes;
    /** How long an operation waits for others to share its record. */
    readonly batchMilliseconds?: number;
    /** Shortest time between two records of this partition; keeps the site under the log's rate limit. */
    readonly intervalMilliseconds?: number;
    /** How long an operation may take in all. */
    readonly decideMilliseconds?: number;
    /** How often a snapshot is written; well below the log's retention. */
    readonly snapshotMilliseconds?: number;
    /** Tells whether this node is the one to write the partition's snapshots. */
    readonly isDesignated?: () => boolean;
    readonly createId?: () => string;
}

interface Pending {
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
    readonly #createId: () => string;
    /** By kind and identifier: a claim and its release carry the same identifier. */
    readonly #pending = new Map<string, Pending[]>();
    readonly #queue: Pending[] = [];
    #timer: NodeJS.Timeout | undefined;
    #snapshotTimer: NodeJS.Timeout | undefined;
    #isAppending = false;
    #lastAppendAt = Number.NEGATIVE_INFINITY;
    #usedAt: number;
    #isStopped = false;

    constructor(options: CollectorOptions) {
        this.#options = options;
        this.#createId = options.createId ?? randomUUID;
        this.#usedAt = options.clock.monotonic();
        this.#reader = new PartitionReader({
            partition: options.partition,
            follow: options.follow,
            clock: options.clock,
            journal: options.journal,
            lifetimes: options.lifetimes ?? defaultLifetimes,
            onDecisions: decisions => this.#settle(decisions),
        });
    }

    /** Begins to follow the partition. */
    start(): void {
        this.#reader.start();
        const interval = this.#options.snapshotMilliseconds ?? defaultSnapshotMilliseconds;
        this.#snapshotTimer ??= setInterval(() => void this.#writeSnapshotWhenDue(), interval / 4);
        this.#snapshotTimer.unref();
    }

    /** Ends following. Operations that wait are answered as unavailable. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        clearTimeout(this.#timer);
        clearInterval(this.#snapshotTimer);
        for (const waiting of [...this.#pending.values()].flat()) {
            this.#finish(waiting, err(new ClaimFailure(waiting.mayHaveTakenEffect)));
        }
        await this.#reader.stop();
    }

    /** Returns the milliseconds since the collector was last asked for anything. */
    getIdleTime(): number {
        return this.#options.clock.monotonic() - this.#usedAt;
    }

    /**
     * Decides an operation by the order of the log.
     * @param operation - The operation. Asked again with the same identifier, it is the same operation.
     */
    decide(operation: ClaimOperation): Promise<Result<ClaimDecision, ClaimFailure>> {
        this.#usedAt = this.#options.clock.monotonic();
        const known = this.#decideFromFold(operation);
        if (known !== undefined) {
            return Promise.resolve(ok(known));
        }
        if (this.#isStopped) {
            return Promise.resolve(err(new ClaimFailure(false)));
        }
        const milliseconds = this.#options.decideMilliseconds ?? defaultDecideMilliseconds;
        return new Promise(resolve => {
            const pending: Pending = {
                operation,
                deadline: this.#options.clock.monotonic() + milliseconds,
                resolve,
                timer: undefined,
                mayHaveTakenEffect: false,
                isDone: false,
            };
            const name = getPendingName(operation.kind, operation.id);
            this.#pending.set(name, [...this.#pending.get(name) ?? [], pending]);
            pending.timer = setTimeout(() => this.#giveUp(pending), milliseconds);
            this.#queue.push(pending);
            this.#schedule(this.#options.batchMilliseconds ?? defaultBatchMilliseconds);
        });
    }

    /**
     * Answers what needs no record.
     *
     * What another claim holds or has completed is answered from the fold: if the fold is behind, the caller is told
     * "in progress" a little too long, and nothing runs. A grant never is. A claimant that was paused for days would
     * find its own claim in a fold that is as old as its pause, while the key has expired and run elsewhere since.
     */
    #decideFromFold(operation: ClaimOperation): ClaimDecision | undefined {
        const fold = this.#reader.getFold();
        if (fold === undefined || operation.kind !== "claim" || fold.get(operation.key) === undefined) {
            return undefined;
        }
        if (getPurpose(operation.key) === "pin") {
            return this.#readPin(operation, pinRenewalAge);
        }
        const decision = fold.decide(operation);
        return decision.verdict === "granted" ? undefined : decision;
    }

    /** Answers from a pin that is younger than a share of its lifetime, so that it cannot have expired unseen. */
    #readPin(operation: ClaimOperation, maximumAge: number): ClaimDecision | undefined {
        const fold = this.#reader.getFold();
        const age = fold?.getPinAge(operation.key, this.#reader.getEntryAge());
        return age !== undefined && age < maximumAge ? fold?.decide(operation) : undefined;
    }

    /** Answers when the time is over: sessions go on with the pins that they have while the log is away. */
    #giveUp(pending: Pending): void {
        const { operation, mayHaveTakenEffect } = pending;
        const isPin = operation.kind === "claim" && getPurpose(operation.key) === "pin";
        const known = isPin ? this.#readPin(operation, pinTrustAge) : undefined;
        this.#finish(pending, known === undefined ? err(new ClaimFailure(mayHaveTakenEffect)) : ok(known));
    }

    #settle(decisions: readonly ClaimDecision[]): void {
        for (const decision of decisions) {
            for (const pending of this.#pending.get(getPendingName(decision.kind, decision.id)) ?? []) {
                this.#finish(pending, ok(decision));
            }
        }
    }

    #finish(pending: Pending, result: Result<ClaimDecision, ClaimFailure>): void {
        if (pending.isDone) {
            return;
        }
        pending.isDone = true;
        clearTimeout(pending.timer);
        const name = getPendingName(pending.operation.kind, pending.operation.id);
        const others = (this.#pending.get(name) ?? []).filter(other => other !== pending);
        if (others.length === 0) {
            this.#pending.delete(name);
        }
        else {
            this.#pending.set(name, others);
        }
        pending.resolve(result);
    }

    #schedule(waitMilliseconds: number): void {
        if (this.#timer !== undefined || this.#isAppending || this.#isStopped || this.#queue.length === 0) {
            return;
        }
        const interval = this.#options.intervalMilliseconds ?? defaultIntervalMilliseconds;
        const earliest = this.#lastAppendAt + interval - this.#options.clock.monotonic();
        this.#timer = setTimeout(() => {
            this.#timer = undefined;
            void this.#appendBatch();
        }, Math.max(waitMilliseconds, earliest));
    }

    async #appendBatch(): Promise<void> {
        const batch = this.#takeBatch();
        if (batch.length > 0) {
            this.#isAppending = true;
            const operations = batch.map(pending => pending.operation);
            await this.#appendUntilSettled(this.#createRecord(claimsKind, { operations }), batch);
            this.#isAppending = false;
        }
        this.#schedule(0);
    }

    #takeBatch(): readonly Pending[] {
        const batch: Pending[] = [];
        let bytes = 0;
        while (this.#queue.length > 0 && batch.length < operationsInRecord) {
            const size = Buffer.byteLength(JSON.stringify(this.#queue[0].operation));
            if (batch.length > 0 && bytes + size > bytesInRecord) {
                break;
            }
            const pending = this.#queue.shift();
            if (pending !== undefined && !this.#isOver(pending)) {
                batch.push(pending);
                bytes += size;
            }
        }
        return batch;
    }

    /**
     * Appends a record again under the same identifier until the log takes it, or nobody waits for it any more. A
     * process that was paused in between must not write what its callers were already told has failed, so the
     * deadline is looked at right before each append.
     */
    async #appendUntilSettled(record: LogRecord, batch: readonly Pending[]): Promise<void> {
        while (!this.#isStopped && batch.some(pending => !this.#isOver(pending))) {
            const before = batch.map(pending => pending.mayHaveTakenEffect);
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
                    pending.mayHaveTakenEffect = before[index];
                }
            }
            await this.#pause(appended.error);
        }
    }

    async #pause(failure: Failure): Promise<void> {
        this.#options.journal.write(events.claimsAppendFailed, {
            partition: this.#options.partition,
            cause: failure.message,
        });
        const milliseconds = failure.retryAfterMilliseconds ?? retryMilliseconds;
        await new Promise(resolve => setTimeout(resolve, Math.min(milliseconds, defaultDecideMilliseconds)));
    }

    #isOver(pending: Pending): boolean {
        return pending.isDone || this.#options.clock.monotonic() >= pending.deadline;
    }

    async #writeSnapshotWhenDue(): Promise<void> {
        const fold = this.#reader.getFold();
        const interval = this.#options.snapshotMilliseconds ?? defaultSnapshotMilliseconds;
        const isDesignated = this.#options.isDesignated?.() ?? true;
        if (fold === undefined || fold.getOffset() < 0 || !isDesignated || this.#reader.getSnapshotAge() < interval) {
            return;
        }
        const parts = fold.createSnapshot(this.#createId(), snapshotItemsInPart, snapshotBytesInPart);
        for (const part of parts) {
            if (!await this.#appendPart(this.#createRecord(claimsSnapshotKind, part))) {
                // The next round writes a whole new snapshot; readers ignore one with parts missing.
                return;
            }
        }
    }

    async #appendPart(record: LogRecord): Promise<boolean> {
        for (let attempt = 0; attempt < snapshotAttempts && !this.#isStopped; attempt += 1) {
            const appended = await this.#options.append(getClaimsStream(this.#options.partition), record);
            if (appended.isOk()) {
                return true;
            }
            await this.#pause(appended.error);
        }
        return false;
    }

    #createRecord(kind: string, body: unknown): LogRecord {
        return { id: this.#createId(), kind, format: claimsFormat, writer: this.#options.writer, body };
    }
}

function getPendingName(kind: ClaimOperation["kind"], id: string): string {
    return `${kind} ${id}`;
}
