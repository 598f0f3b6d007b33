/**
 * Holds this entry's bills until the log confirms them.
 *
 * A bill that only exists in the memory of one process is lost with it, and an append for each request would be too
 * slow and would exceed the log's rate limit. The last byte of an answer therefore waits only until a second VM, in
 * another failure domain, stores a replica. The append follows in a batch. If this entry dies first, the replica holder
 * appends the bill.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { AppendRecord } from "../log/logAccess.js";
import type { Bill } from "./bill.js";
import { BillAppender } from "./billAppender.js";
import { packBill, type PackedBill, unpackBill } from "./packedBill.js";

const defaultIntervalMilliseconds = 1_000;
const defaultMaxBills = 20_000;
/** Fraction of the buffer from which new work is refused. The rest is reserved for requests in flight. */
const fullThreshold = 0.8;
const copyBatchDelayMilliseconds = 2;
const maxBillsPerCopyCall = 500;
const defaultCopyTimeoutMilliseconds = 10_000;
const flushPauseMilliseconds = 100;
/** Number of peers that hold a bill when this entry stops while the log is unavailable. */
const replicasOnShutdown = 2;

/** A peer that can store replicas. */
export interface BillCopyTarget {
    readonly id: string;
    /**
     * Sends bills that the peer should store, and identifiers of bills that were appended. `origin` is the entry that
     * answered the requests; the default is this entry.
     * @returns The request identifiers of the bills that the peer stores, or undefined when it did not answer.
     */
    readonly copy: (
        bills: readonly Bill[],
        appended: readonly string[],
        origin?: string,
    ) => Promise<readonly string[] | undefined>;
}

/** Options of a bill writer. */
export interface BillWriterOptions {
    readonly append: AppendRecord;
    /**
     * Returns the peers that may store replicas, in order of preference: alive, and in another failure domain than this
     * entry.
     */
    readonly getCopyTargets: () => readonly BillCopyTarget[];
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this entry. */
    readonly writer: string;
    /**
     * Returns the time between two appends. It grows with the number of entries, so that their total rate stays below
     * the log's rate limit.
     */
    readonly getIntervalMilliseconds?: () => number;
    readonly maxBills?: number;
    /** How long a bill may wait for its replica or its append before `add` fails. */
    readonly copyTimeoutMilliseconds?: number;
}

type ResolveCallback = (result: Result<void, Failure>) => void;

interface WaitingBill {
    readonly requestId: string;
    readonly packed: PackedBill;
    /** The peers that hold a replica. Bills of a batch share the array. */
    replicaHolders: readonly BillCopyTarget[];
    /** Resolve callbacks of the calls of `add` that wait for this bill; empty once it has a replica. */
    resolveCallbacks: readonly ResolveCallback[];
}

/** Shared by all bills without a replica holder, since an outage leaves tens of thousands of them. */
const noReplicaHolders: readonly BillCopyTarget[] = [];
const noResolveCallbacks: readonly ResolveCallback[] = [];

/** Writes this entry's bills. */
export class BillWriter {
    readonly #options: BillWriterOptions;
    readonly #appender: BillAppender;
    readonly #waiting = new Map<string, WaitingBill>();
    readonly #copyQueue: WaitingBill[] = [];
    #copyTimer: NodeJS.Timeout | undefined;
    #appendTimer: NodeJS.Timeout | undefined;
    #appending: Promise<void> | undefined;
    #isStarted = false;

    constructor(options: BillWriterOptions) {
        this.#options = options;
        this.#appender = new BillAppender({ append: options.append, writer: options.writer });
    }

    /** Starts periodic appends. */
    start(): void {
        this.#isStarted = true;
        this.#scheduleAppend();
    }

    /** Stops appending. Bills that are not in the log are lost unless `flush` succeeded or a peer holds a replica. */
    stop(): void {
        this.#isStarted = false;
        clearTimeout(this.#appendTimer);
        clearTimeout(this.#copyTimer);
    }

    /** Returns the number of bills that are not in the log. */
    getSize(): number {
        return this.#waiting.size;
    }

    /** Returns whether new billable work must be refused, because its bill might exceed the capacity. */
    isFull(): boolean {
        return this.#waiting.size >= (this.#options.maxBills ?? defaultMaxBills) * fullThreshold;
    }

    /**
     * Adds a bill.
     *
     * Fails when neither a second VM nor the log has the bill in time. The bill is still held and appended; the failure
     * means that it would be lost if this VM died. A bill beyond the capacity is still accepted: its work is done, and
     * `isFull` has refused new work long before.
     * @param bill - The bill. Another one for the same request counts as the same bill.
     */
    add(bill: Bill): Promise<Result<void, Failure>> {
        return new Promise(resolve => {
            const timer = setTimeout(
                () => resolve(err(createNotCopiedFailure())),
                this.#options.copyTimeoutMilliseconds ?? defaultCopyTimeoutMilliseconds,
            );
            const resolveAdd = (result: Result<void, Failure>) => {
                clearTimeout(timer);
                resolve(result);
            };
            const known = this.#waiting.get(bill.requestId);
            if (known !== undefined && known.replicaHolders.length > 0) {
                resolveAdd(ok(undefined));
                return;
            }
            if (known !== undefined) {
                known.resolveCallbacks = [...known.resolveCallbacks, resolveAdd];
                return;
            }
            const { requestId } = bill;
            const waiting = {
                requestId,
                packed: packBill(bill),
                replicaHolders: noReplicaHolders,
                resolveCallbacks: [resolveAdd],
            };
            this.#waiting.set(requestId, waiting);
            this.#copyQueue.push(waiting);
            this.#copyTimer ??= setTimeout(() => void this.#copyBatch(), copyBatchDelayMilliseconds);
        });
    }

    /**
     * Appends all waiting bills, for a shutdown.
     *
     * When the log does not answer in time, the bills are replicated to two peers, which append them once this entry
     * has departed. One peer is not sufficient: its death would lose the bills while the log is unavailable.
     * @param timeoutMilliseconds - How long to retry.
     * @returns A failure if a bill is neither in the log nor held by a peer.
     */
    async flush(timeoutMilliseconds: number): Promise<Result<void, Failure>> {
        const deadline = this.#options.clock.monotonic() + timeoutMilliseconds;
        while (this.#waiting.size > 0 && this.#options.clock.monotonic() < deadline) {
            const before = this.#waiting.size;
            await this.#appendOnce();
            if (this.#waiting.size === before) {
                await new Promise(resolve => setTimeout(resolve, flushPauseMilliseconds));
            }
        }
        await this.#copyToSecondPeer();
        const unreplicated = [...this.#waiting.values()].filter(waiting => waiting.replicaHolders.length === 0);
        if (unreplicated.length === 0) {
            return ok(undefined);
        }
        this.#options.journal.write(events.billsUnsafe, { bills: unreplicated.length });
        return err(createNotCopiedFailure());
    }

    async #copyBatch(): Promise<void> {
        this.#copyTimer = undefined;
        const batch = this.#copyQueue.splice(0, maxBillsPerCopyCall);
        if (this.#copyQueue.length > 0) {
            this.#copyTimer = setTimeout(() => void this.#copyBatch(), 0);
        }
        let remaining = batch;
        for (const target of this.#options.getCopyTargets()) {
            const retained = new Set(await target.copy(remaining.map(unpack), []) ?? []);
            const replicaHolders = [target];
            for (const waiting of remaining) {
                if (retained.has(waiting.requestId)) {
                    await this.#handleCopied(waiting, replicaHolders);
                }
            }
            remaining = remaining.filter(waiting => !retained.has(waiting.requestId));
            if (remaining.length === 0) {
                return;
            }
        }
        // No second VM stored these bills. They are safe only once the log has them, so they are appended at once.
        this.#options.journal.write(events.billsNotCopied, { bills: remaining.length });
        void this.#appendOnce();
    }

    async #copyToSecondPeer(): Promise<void> {
        for (const target of this.#options.getCopyTargets()) {
            const remaining = [...this.#waiting.values()].filter(({ replicaHolders }) =>
                replicaHolders.length < replicasOnShutdown && !replicaHolders.some(holder => holder.id === target.id)
            );
            for (let start = 0; start < remaining.length; start += maxBillsPerCopyCall) {
                const batch = remaining.slice(start, start + maxBillsPerCopyCall);
                const retained = new Set(await target.copy(batch.map(unpack), []) ?? []);
                for (const waiting of batch.filter(({ requestId }) => retained.has(requestId))) {
                    waiting.replicaHolders = [...waiting.replicaHolders, target];
                }
            }
        }
    }

    async #handleCopied(waiting: WaitingBill, replicaHolders: readonly BillCopyTarget[]): Promise<void> {
        waiting.replicaHolders = waiting.replicaHolders.length === 0
            ? replicaHolders
            : [...waiting.replicaHolders, ...replicaHolders];
        resolveAll(waiting);
        // The append may have finished before the replication. Without this notification, the holder would append the
        // bill again.
        if (this.#waiting.get(waiting.requestId) !== waiting) {
            for (const holder of replicaHolders) {
                await holder.copy([], [waiting.requestId]);
            }
        }
    }

    #scheduleAppend(): void {
        if (!this.#isStarted) {
            return;
        }
        const milliseconds = this.#options.getIntervalMilliseconds?.() ?? defaultIntervalMilliseconds;
        this.#appendTimer = setTimeout(async () => {
            await this.#appendOnce();
            this.#scheduleAppend();
        }, milliseconds);
    }

    async #appendOnce(): Promise<void> {
        this.#appending ??= this.#appendBatch().finally(() => this.#appending = undefined);
        await this.#appending;
    }

    async #appendBatch(): Promise<void> {
        const appended = await this.#appender.appendBatch(unpackEach(this.#waiting.values()));
        const appendedByHolder = new Map<BillCopyTarget, string[]>();
        for (const { requestId } of appended) {
            const waiting = this.#waiting.get(requestId);
            this.#waiting.delete(requestId);
            if (waiting === undefined) {
                continue;
            }
            resolveAll(waiting);
            for (const holder of waiting.replicaHolders) {
                appendedByHolder.set(holder, [...appendedByHolder.get(holder) ?? [], requestId]);
            }
        }
        for (const [holder, requestIds] of appendedByHolder) {
            // If this notification is lost, the holder appends the bills again, and the ledger removes the repeats.
            void holder.copy([], requestIds);
        }
    }
}

function resolveAll(waiting: WaitingBill): void {
    const { resolveCallbacks } = waiting;
    waiting.resolveCallbacks = noResolveCallbacks;
    for (const resolve of resolveCallbacks) {
        resolve(ok(undefined));
    }
}

function unpack({ requestId, packed }: WaitingBill): Bill {
    return unpackBill(requestId, packed);
}

/** Unpacks bills lazily: one record holds a small part of the bills that wait in an outage. */
function* unpackEach(waiting: Iterable<WaitingBill>): Iterable<Bill> {
    for (const bill of waiting) {
        yield unpack(bill);
    }
}

function createNotCopiedFailure(): Failure {
    return new Failure({
        kind: "unavailable",
        message: "A bill is neither in the log nor copied to another VM yet.",
        remedy: "Keep this entry running until the log answers; it keeps retrying.",
    });
}
