/**
 * Keeps this entry's bills until the log holds them.
 *
 * A bill in one process's memory dies with it, and the log is too slow and too rare to be asked once a request. So the
 * last byte of an answer waits only until a second VM, in another failure domain, holds a copy; the append follows in
 * a batch. If this entry dies first, the copy's keeper appends it.
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
/** The share of the buffer at which new work is refused; the rest is for what is being answered already. */
const fullThreshold = 0.8;
const copyBatchDelayMilliseconds = 2;
const maxBillsPerCopyCall = 500;
const defaultCopyTimeoutMilliseconds = 10_000;
const flushPauseMilliseconds = 100;
/** How many peers keep a bill that an entry leaves behind while the log is away. */
const replicasOnShutdown = 2;

/** A peer that can keep copies. */
export interface BillCopyTarget {
    readonly id: string;
    /**
     * Asks the peer to keep bills, and tells it which were appended. `origin` is the entry that answered the requests;
     * by default this one.
     * @returns The request identifiers that it keeps, or undefined when it did not answer.
     */
    readonly copy: (
        bills: readonly Bill[],
        appended: readonly string[],
        origin?: string,
    ) => Promise<readonly string[] | undefined>;
}

/** Options of a writer of bills. */
export interface BillWriterOptions {
    readonly append: AppendRecord;
    /** The peers to ask for a copy, best first: alive, and in another failure domain than this entry. */
    readonly getCopyTargets: () => readonly BillCopyTarget[];
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this entry. */
    readonly writer: string;
    /** Time between two appends. It grows with the number of entries, so that all together stay below the log's rate. */
    readonly getIntervalMilliseconds?: () => number;
    readonly maxBills?: number;
    /** How long a bill may wait for its copy or its append before `add` fails. */
    readonly copyTimeoutMilliseconds?: number;
}

type ResolveCallback = (result: Result<void, Failure>) => void;

interface WaitingBill {
    readonly requestId: string;
    readonly packed: PackedBill;
    /** The peers that keep a copy. Bills of a batch share the list. */
    replicaHolders: readonly BillCopyTarget[];
    /** Tells those who wait for the bill; nobody does once it has its copy. */
    resolveCallbacks: readonly ResolveCallback[];
}

/** One list for all bills that have none: an outage keeps tens of thousands. */
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

    /** Begins to append. */
    start(): void {
        this.#isStarted = true;
        this.#scheduleAppend();
    }

    /** Ends appending. Bills that the log does not hold yet are lost unless `flush` succeeded or a peer keeps them. */
    stop(): void {
        this.#isStarted = false;
        clearTimeout(this.#appendTimer);
        clearTimeout(this.#copyTimer);
    }

    /** Returns how many bills the log does not hold yet. */
    getSize(): number {
        return this.#waiting.size;
    }

    /** Tells whether new billable work must be refused, because its bill might find no room. */
    isFull(): boolean {
        return this.#waiting.size >= (this.#options.maxBills ?? defaultMaxBills) * fullThreshold;
    }

    /**
     * Takes a bill in.
     *
     * Fails when neither a second VM nor the log has the bill in time. The bill is kept and appended all the same; the
     * failure tells the caller of this method that it is not yet safe from this VM's death. Beyond the bound a bill is
     * still taken in: its work is done, and `isFull` has refused new work long before.
     * @param bill - The bill. A second one for the same request is the same bill.
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
     * Appends everything that waits, for a shutdown.
     *
     * When the log does not answer in time, the bills are left to two peers, which append them once this entry is
     * gone. One would not do: for as long as the log stays away, that peer's death would lose them.
     * @param milliseconds - How long to try.
     * @returns A failure if a bill is neither in the log nor with a peer.
     */
    async flush(milliseconds: number): Promise<Result<void, Failure>> {
        const deadline = this.#options.clock.monotonic() + milliseconds;
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
        // No second VM took them: they are safe only once the log has them, so the append does not wait for its turn.
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
        // The append may have overtaken the copy; its keeper would then never be told and append once more.
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
            // Unheard, the keeper appends them once more, which the ledger removes.
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

/** Unpacks as many as are asked for: one record holds a small part of what waits in an outage. */
function* unpackEach(waiting: Iterable<WaitingBill>): Iterable<Bill> {
    for (const bill of waiting) {
        yield unpack(bill);
    }
}

function createNotCopiedFailure(): Failure {
    return new Failure({
        kind: "unavailable",
        message: "A bill is neither in the log nor copied to another VM yet.",
        remedy: "Keep this entry running until the log answers; it goes on trying.",
    });
}
