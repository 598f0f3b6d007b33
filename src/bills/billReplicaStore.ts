/**
 * Stores replicas of other entries' bills, and appends them when their origin cannot.
 *
 * A replica is removed only after its origin, or this store itself, has appended the bill to the log. If it were
 * removed because the origin appears alive, the bill would be lost if the origin died a moment later. An unnecessary
 * append is harmless, because the ledger counts one bill for each request.
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

/** Options of a replica store. */
export interface BillReplicaStoreOptions {
    readonly append: AppendRecord;
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this entry. */
    readonly writer: string;
    /** Returns whether an origin has departed, so that this store must append its bills. */
    readonly hasDeparted: (origin: string) => boolean;
    /**
     * Returns the incarnation of an origin. A process that is killed and restarted on its VM within seconds never
     * counts as departed, and its new run does not know the bills of the old one. Without the incarnation, these bills
     * would wait for the confirmation timeout.
     */
    readonly getIncarnation?: (origin: string) => string | undefined;
    /** How long an origin that is alive may leave a bill unconfirmed. Must exceed the interval between its appends. */
    readonly confirmTimeoutMilliseconds?: number;
    readonly maxBills?: number;
    /** Returns the peers that receive the replicas when this entry leaves while the log is unavailable. */
    readonly getCopyTargets?: () => readonly BillCopyTarget[];
}

interface BillReplica {
    readonly requestId: string;
    readonly packed: PackedBill;
    readonly source: BillSource;
}

/**
 * Source of the bills that one origin sent within a second. Replicas share it, since a call carries only one or two
 * bills.
 */
interface BillSource {
    readonly origin: string;
    readonly incarnation: string | undefined;
    readonly retainedAt: number;
}

/** State of the entry that a replica came from. */
interface OriginState {
    readonly hasDeparted: boolean;
    readonly incarnation: string | undefined;
}

/** Stores replicas of bills. */
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

    /** Starts checking for bills whose origin has departed. */
    start(): void {
        this.#timer ??= setInterval(() => void this.appendDue(), checkIntervalMilliseconds);
        this.#timer.unref();
    }

    /** Stops checking. */
    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    /** Returns the number of replicas. */
    getSize(): number {
        return this.#replicas.size;
    }

    /**
     * Stores replicas, and removes those that the origin has appended. Handles a peer's call.
     * @param origin - The entry that answered the requests.
     * @param bills - Bills as JSON.
     * @param appended - Request identifiers of bills that are in the log.
     * @returns The request identifiers of the stored bills, without those that cannot be parsed or exceed the capacity.
     */
    retain(origin: string, bills: readonly string[], appended: readonly string[]): readonly string[] {
        for (const requestId of appended) {
            this.#replicas.delete(requestId);
        }
        const source = this.#getSource(origin);
        const retained: string[] = [];
        for (const text of bills) {
            const bill = parseBill(text);
            const hasCapacity = this.#replicas.size < (this.#options.maxBills ?? defaultMaxBills);
            if (bill === undefined || !hasCapacity) {
                continue;
            }
            const { requestId } = bill;
            this.#replicas.set(requestId, { requestId, packed: packBill(bill), source });
            retained.push(requestId);
        }
        return retained;
    }

    /** Appends bills whose origin has departed or has not confirmed them in time, up to one record. */
    async appendDue(): Promise<void> {
        // Each origin is looked up once: looking up the members for each of tens of thousands of replicas blocked the
        // event loop.
        const origins = new Map<string, OriginState>();
        // Cleared, since origins come and go while this process runs, and the map would keep growing.
        this.#lastSources.clear();
        await this.#appendWhere(replica => this.#isDue(replica, origins));
    }

    /**
     * Appends all replicas, for a shutdown of this entry. Replicas that the log does not confirm in time are
     * transferred to a peer, since their origin may be dead and this replica may be the last one.
     * @param timeoutMilliseconds - How long to retry.
     * @returns The number of replicas that neither the log nor a peer accepted.
     */
    async flush(timeoutMilliseconds: number): Promise<number> {
        const deadline = this.#options.clock.monotonic() + timeoutMilliseconds;
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
                // A live origin still holds its own bills.
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

    async #appendWhere(predicate: (replica: BillReplica) => boolean): Promise<void> {
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

/** Unpacks bills lazily, so that only those of one record are unpacked. */
function* unpackEach(replicas: Iterable<BillReplica>): Iterable<Bill> {
    for (const bill of replicas) {
        yield unpack(bill);
    }
}
