/**
 * Keeps copies of other entries' bills, and appends them when their origin can't.
 *
 * A copy is dropped only after its origin, or this keeper's own append, has put the bill into the log. Dropping it when
 * the origin merely seems alive would lose the bill if the origin died a moment later. Appending one too often is
 * harmless: the ledger counts one bill for each request.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { AppendRecord } from "../log/logAccess.js";
import { type Bill, parseBill } from "./bill.js";
import { BillAppender } from "./billAppender.js";
import type { BillCopyTarget } from "./billWriter.js";
import { packBill, type PackedBill, unpackBill } from "./packedBill.js";

const checkIntervalMilliseconds = 1_000;
const defaultConfirmTimeoutMilliseconds = 120_000;
const defaultMaxBills = 40_000;
const flushPauseMilliseconds = 100;
const sourceReuseMilliseconds = 1_000;

/** Options of a keeper. */
export interface BillReplicaStoreOptions {
    readonly append: AppendRecord;
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this entry. */
    readonly writer: string;
    /** Tells whether an origin is gone, so that its bills are now this keeper's to append. */
    readonly hasDeparted: (origin: string) => boolean;
    /**
     * Gives the run of an origin. A process that is killed and started again on its VM within seconds is never seen as
     * gone, and its new run knows nothing of the bills of the old one; they would wait for the time of confirmation.
     */
    readonly getIncarnation?: (origin: string) => string | undefined;
    /** How long an origin that is alive may leave a bill unconfirmed. Longer than its time between appends. */
    readonly confirmTimeoutMilliseconds?: number;
    readonly maxBills?: number;
    /** The peers to hand copies to when this entry leaves while the log is away. */
    readonly getCopyTargets?: () => readonly BillCopyTarget[];
}

interface BillReplica {
    readonly requestId: string;
    readonly packed: PackedBill;
    readonly source: BillSource;
}

/** Where the bills of one origin's second came from. They share it: a call carries one or two bills only. */
interface BillSource {
    readonly origin: string;
    readonly incarnation: string | undefined;
    readonly retainedAt: number;
}

/** What is known of the entry that a copy came from. */
interface OriginState {
    readonly hasDeparted: boolean;
    readonly incarnation: string | undefined;
}

/** Keeps copies of bills. */
export class BillReplicaStore {
    readonly #options: BillReplicaStoreOptions;
    readonly #appender: BillAppender;
    readonly #replicas = new Map<string, BillReplica>();
    readonly #lastSources = new Map<string, BillSource>();
    #timer: NodeJS.Timeout | undefined;
    #isAppending = false;

    constructor(options: BillReplicaStoreOptions) {
        this.#options = options;
        this.#appender = new BillAppender({ append: options.append, writer: options.writer });
    }

    /** Begins to look for bills whose origin is gone. */
    start(): void {
        this.#timer ??= setInterval(() => void this.appendDue(), checkIntervalMilliseconds);
        this.#timer.unref();
    }

    /** Ends looking. */
    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    /** Returns how many copies are kept. */
    getSize(): number {
        return this.#replicas.size;
    }

    /**
     * Keeps copies, and drops those that the origin has appended. Answers a peer's call.
     * @param origin - The entry that sends them.
     * @param bills - Bills as JSON.
     * @param appended - Request identifiers that stand in the log.
     * @returns The request identifiers that are kept from now on. A bill that cannot be read, or finds no room, is not.
     */
    retain(origin: string, bills: readonly string[], appended: readonly string[]): readonly string[] {
        for (const requestId of appended) {
            this.#replicas.delete(requestId);
        }
        const source = this.#getSource(origin);
        const retained: string[] = [];
        for (const text of bills) {
            const bill = parseBill(text);
            const hasRoom = this.#replicas.size < (this.#options.maxBills ?? defaultMaxBills);
            if (bill === undefined || !hasRoom) {
                continue;
            }
            const { requestId } = bill;
            this.#replicas.set(requestId, { requestId, packed: packBill(bill), source });
            retained.push(requestId);
        }
        return retained;
    }

    /** Appends the bills whose origin is gone or has not confirmed them in time, as many as one record holds. */
    async appendDue(): Promise<void> {
        // Each origin is looked up once: tens of thousands of copies, each compared with all members, held up the loop.
        const origins = new Map<string, OriginState>();
        // Origins come and go for as long as this process runs.
        this.#lastSources.clear();
        await this.#appendWhere(replica => this.#isDue(replica, origins));
    }

    /**
     * Appends every copy, for a shutdown of this entry. What the log does not take in time is handed to a peer: its
     * origin may be dead already, and this copy the last.
     * @param milliseconds - How long to try.
     * @returns How many copies no one took.
     */
    async flush(milliseconds: number): Promise<number> {
        const deadline = this.#options.clock.monotonic() + milliseconds;
        while (this.#replicas.size > 0 && this.#options.clock.monotonic() < deadline) {
            const before = this.#replicas.size;
            await this.#appendWhere(() => true);
            if (this.#replicas.size === before) {
                await new Promise(resolve => setTimeout(resolve, flushPauseMilliseconds));
            }
        }
        await this.#transferReplicas();
        return this.#replicas.size;
    }

    #getSource(origin: string): BillSource {
        const retainedAt = this.#options.clock.monotonic();
        const incarnation = this.#options.getIncarnation?.(origin);
        const last = this.#lastSources.get(origin);
        if (
            last !== undefined && last.incarnation === incarnation
            && retainedAt - last.retainedAt < sourceReuseMilliseconds
        ) {
            return last;
        }
        const source = { origin, incarnation, retainedAt };
        this.#lastSources.set(origin, source);
        return source;
    }

    async #transferReplicas(): Promise<void> {
        for (const target of this.#options.getCopyTargets?.() ?? []) {
            for (const [origin, bills] of this.#getByOrigin()) {
                // The origin itself keeps its own bills while it lives.
                const retained = target.id === origin ? [] : await target.copy(bills, [], origin) ?? [];
                for (const requestId of retained) {
                    this.#replicas.delete(requestId);
                }
            }
        }
    }

    #getByOrigin(): ReadonlyMap<string, readonly Bill[]> {
        const byOrigin = new Map<string, Bill[]>();
        for (const replica of this.#replicas.values()) {
            const { origin } = replica.source;
            const bills = byOrigin.get(origin) ?? [];
            byOrigin.set(origin, bills);
            bills.push(unpack(replica));
        }
        return byOrigin;
    }

    #isDue({ source: { origin, incarnation, retainedAt } }: BillReplica, origins: Map<string, OriginState>): boolean {
        const state = origins.get(origin) ?? this.#getOriginState(origin);
        origins.set(origin, state);
        const age = this.#options.clock.monotonic() - retainedAt;
        return state.hasDeparted || state.incarnation !== incarnation
            || age > (this.#options.confirmTimeoutMilliseconds ?? defaultConfirmTimeoutMilliseconds);
    }

    #getOriginState(origin: string): OriginState {
        return { hasDeparted: this.#options.hasDeparted(origin), incarnation: this.#options.getIncarnation?.(origin) };
    }

    async #appendWhere(predicate: (kept: BillReplica) => boolean): Promise<void> {
        if (this.#isAppending) {
            return;
        }
        const due = [...this.#replicas.values()].filter(predicate);
        if (due.length === 0) {
            return;
        }
        this.#isAppending = true;
        const appended = await this.#appender.appendBatch(unpackEach(due));
        this.#isAppending = false;
        for (const { requestId } of appended) {
            this.#replicas.delete(requestId);
        }
        if (appended.length > 0) {
            this.#options.journal.write(events.billsTakenOver, { bills: appended.length });
        }
    }
}

function unpack({ requestId, packed }: BillReplica): Bill {
    return unpackBill(requestId, packed);
}

/** Unpacks as many as one record holds, and no more. */
function* unpackEach(replicas: Iterable<BillReplica>): Iterable<Bill> {
    for (const bill of replicas) {
        yield unpack(bill);
    }
}
