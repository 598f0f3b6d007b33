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

const checkMilliseconds = 1_000;
const defaultConfirmMilliseconds = 120_000;
const defaultMaximumBills = 40_000;
const flushPauseMilliseconds = 100;

/** Options of a keeper. */
export interface BillKeeperOptions {
    readonly append: AppendRecord;
    readonly clock: Clock;
    readonly journal: Journal;
    /** Name of this entry. */
    readonly writer: string;
    /** Tells whether an origin is gone, so that its bills are now this keeper's to append. */
    readonly isGone: (origin: string) => boolean;
    /**
     * Gives the run of an origin. A process that is killed and started again on its VM within seconds is never seen as
     * gone, and its new run knows nothing of the bills of the old one; they would wait for the time of confirmation.
     */
    readonly getIncarnation?: (origin: string) => string | undefined;
    /** How long an origin that is alive may leave a bill unconfirmed. Longer than its time between appends. */
    readonly confirmMilliseconds?: number;
    readonly maximumBills?: number;
    /** The peers to hand copies to when this entry leaves while the log is away. */
    readonly getCopyTargets?: () => readonly BillCopyTarget[];
}

interface KeptBill {
    readonly bill: Bill;
    readonly origin: string;
    readonly incarnation: string | undefined;
    readonly keptAt: number;
}

/** Keeps copies of bills. */
export class BillKeeper {
    readonly #options: BillKeeperOptions;
    readonly #appender: BillAppender;
    readonly #kept = new Map<string, KeptBill>();
    #timer: NodeJS.Timeout | undefined;
    #isAppending = false;

    constructor(options: BillKeeperOptions) {
        this.#options = options;
        this.#appender = new BillAppender({ append: options.append, writer: options.writer });
    }

    /** Begins to look for bills whose origin is gone. */
    start(): void {
        this.#timer ??= setInterval(() => void this.appendDue(), checkMilliseconds);
        this.#timer.unref();
    }

    /** Ends looking. */
    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    /** Returns how many copies are kept. */
    getSize(): number {
        return this.#kept.size;
    }

    /**
     * Keeps copies, and drops those that the origin has appended. Answers a peer's call.
     * @param origin - The entry that sends them.
     * @param bills - Bills as JSON.
     * @param appended - Request identifiers that stand in the log.
     * @returns The request identifiers that are kept from now on. A bill that cannot be read, or finds no room, is not.
     */
    keep(origin: string, bills: readonly string[], appended: readonly string[]): readonly string[] {
        for (const requestId of appended) {
            this.#kept.delete(requestId);
        }
        const kept: string[] = [];
        for (const text of bills) {
            const bill = parseBill(text);
            const hasRoom = this.#kept.size < (this.#options.maximumBills ?? defaultMaximumBills);
            if (bill === undefined || !hasRoom) {
                continue;
            }
            const incarnation = this.#options.getIncarnation?.(origin);
            this.#kept.set(bill.requestId, { bill, origin, incarnation, keptAt: this.#options.clock.monotonic() });
            kept.push(bill.requestId);
        }
        return kept;
    }

    /** Appends the bills whose origin is gone or has not confirmed them in time, as many as one record holds. */
    async appendDue(): Promise<void> {
        await this.#appendWhere(kept => this.#isDue(kept));
    }

    /**
     * Appends every copy, for a shutdown of this entry. What the log does not take in time is handed to a peer: its
     * origin may be dead already, and this copy the last.
     * @param milliseconds - How long to try.
     * @returns How many copies no one took.
     */
    async flush(milliseconds: number): Promise<number> {
        const deadline = this.#options.clock.monotonic() + milliseconds;
        while (this.#kept.size > 0 && this.#options.clock.monotonic() < deadline) {
            const before = this.#kept.size;
            await this.#appendWhere(() => true);
            if (this.#kept.size === before) {
                await new Promise(resolve => setTimeout(resolve, flushPauseMilliseconds));
            }
        }
        await this.#handOver();
        return this.#kept.size;
    }

    async #handOver(): Promise<void> {
        for (const target of this.#options.getCopyTargets?.() ?? []) {
            for (const [origin, bills] of this.#getByOrigin()) {
                // The origin itself keeps its own bills while it lives.
                const kept = target.id === origin ? [] : await target.copy(bills, [], origin) ?? [];
                for (const requestId of kept) {
                    this.#kept.delete(requestId);
                }
            }
        }
    }

    #getByOrigin(): ReadonlyMap<string, readonly Bill[]> {
        const byOrigin = new Map<string, Bill[]>();
        for (const { origin, bill } of this.#kept.values()) {
            byOrigin.set(origin, [...byOrigin.get(origin) ?? [], bill]);
        }
        return byOrigin;
    }

    #isDue({ origin, incarnation, keptAt }: KeptBill): boolean {
        if (this.#options.getIncarnation?.(origin) !== incarnation) {
            return true;
        }
        const age = this.#options.clock.monotonic() - keptAt;
        return this.#options.isGone(origin) || age > (this.#options.confirmMilliseconds ?? defaultConfirmMilliseconds);
    }

    async #appendWhere(isWanted: (kept: KeptBill) => boolean): Promise<void> {
        if (this.#isAppending) {
            return;
        }
        const due = [...this.#kept.values()].filter(isWanted).map(kept => kept.bill);
        if (due.length === 0) {
            return;
        }
        this.#isAppending = true;
        const appended = await this.#appender.appendSome(due);
        this.#isAppending = false;
        for (const { requestId } of appended) {
            this.#kept.delete(requestId);
        }
        if (appended.length > 0) {
            this.#options.journal.write(events.billsTakenOver, { bills: appended.length });
        }
    }
}
