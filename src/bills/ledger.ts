/**
 * The ledger: one bill for each request, from a stream that may contain a bill several times.
 *
 * The first bill of a request in the order of the log counts, so every ledger and every restart has the same result.
 */
import { events, type Journal } from "../events/index.js";
import type { LogEntry } from "../log/record.js";
import { type Bill, billsBodySchema, billsKind } from "./bill.js";

/** Totals of a workspace. */
export interface WorkspaceTotal {
    readonly workspace: string;
    readonly requests: number;
    readonly inputTokens: number;
    readonly outputTokens: number;
    readonly total: number;
}

/** A bill with its offset in the stream. */
export interface LedgerLine {
    readonly offset: number;
    /** Log time of the record that contains the bill. */
    readonly time: number;
    readonly bill: Bill;
}

/** Options of a ledger. */
export interface LedgerOptions {
    readonly journal: Journal;
    /** How long the ledger remembers billed requests, by the log's time. The default is for ever. */
    readonly windowMilliseconds?: number;
    /** Returns the totals of requests that were billed before the window. Required with a window. */
    readonly findOlder?: (requestIds: ReadonlySet<string>) => ReadonlyMap<string, number>;
}

interface BilledRequest {
    readonly total: number;
    /** Log time of the record that contains the bill. */
    readonly time: number;
}

/** Folds the stream of bills. */
export class Ledger {
    readonly #options: LedgerOptions;
    /** Ordered by log time, so that expiry only checks the front. */
    readonly #billed = new Map<string, BilledRequest>();
    readonly #workspaces = new Map<string, WorkspaceTotal>();
    #offset = -1;
    #logTime = 0;
    #requests = 0;
    #repeats = 0;
    #conflicts = 0;
    #gaps = 0;

    constructor(options: LedgerOptions) {
        this.#options = options;
    }

    /** Returns the next offset to read. */
    getNextOffset(): number {
        return this.#offset + 1;
    }

    /** Returns the number of billed requests. */
    getSize(): number {
        return this.#requests;
    }

    /**
     * Returns the number of removed repeats, the number of repeats with another total, and the number of gaps in which
     * bills expired unread.
     */
    getCounts(): { readonly repeats: number; readonly conflicts: number; readonly gaps: number; } {
        return { repeats: this.#repeats, conflicts: this.#conflicts, gaps: this.#gaps };
    }

    /** Returns the totals of all workspaces, sorted by name. */
    getTotals(): readonly WorkspaceTotal[] {
        return [...this.#workspaces.values()].sort((left, right) => left.workspace < right.workspace ? -1 : 1);
    }

    /**
     * Restores a line that an earlier run of the ledger wrote.
     * @param line - The line.
     */
    restore({ offset, time, bill }: LedgerLine): void {
        // The earlier run may have ended within a record, so that record is read again. Its written bills count as
        // repeats.
        this.#offset = Math.max(this.#offset, offset - 1);
        this.#logTime = Math.max(this.#logTime, time);
        this.#forgetExpired();
        this.#addToTotals(bill);
    }

    /**
     * Folds an entry.
     * @param entry - The next entry of the stream.
     * @returns The bills of the entry that are the first of their request.
     */
    apply(entry: LogEntry): readonly Bill[] {
        if (entry.offset <= this.#offset) {
            return [];
        }
        this.#offset = entry.offset;
        this.#logTime = Math.max(this.#logTime, entry.time);
        this.#forgetExpired();
        const body = billsBodySchema.safeParse(entry.record.body);
        if (entry.record.kind !== billsKind || !body.success) {
            return [];
        }
        const first: Bill[] = [];
        const older = this.#findOlder(body.data.bills);
        for (const bill of body.data.bills) {
            const total = this.#billed.get(bill.requestId)?.total ?? older.get(bill.requestId);
            if (total === undefined) {
                this.#addToTotals(bill);
                first.push(bill);
            }
            else {
                this.#handleRepeat(bill, total);
            }
        }
        return first;
    }

    /**
     * Records that entries expired before they were read. Their bills are missing, and the report shows the gap.
     * @param earliest - The first offset that can still be read.
     */
    handleGap(earliest: number): void {
        this.#gaps += 1;
        this.#options.journal.write(events.ledgerGap, { expected: this.getNextOffset(), earliest });
        this.#offset = Math.max(this.#offset, earliest - 1);
    }

    #handleRepeat(bill: Bill, total: number): void {
        this.#repeats += 1;
        if (bill.total !== total) {
            this.#conflicts += 1;
            this.#options.journal.write(events.billConflict, {
                request: bill.requestId,
                counted: total,
                ignored: bill.total,
            });
        }
    }

    /**
     * Finds totals of bills that are so old that their requests may have expired from memory. An entry that was paused
     * for days appends its bills after the pause, long after the replica holders did. Half of the window is a margin
     * for entries whose clocks differ from the log's.
     */
    #findOlder(bills: readonly Bill[]): ReadonlyMap<string, number> {
        const { windowMilliseconds, findOlder } = this.#options;
        if (windowMilliseconds === undefined || findOlder === undefined) {
            return new Map();
        }
        const before = this.#logTime - windowMilliseconds / 2;
        const old = bills.filter(bill => bill.answeredAt < before && !this.#billed.has(bill.requestId));
        return old.length === 0 ? new Map() : findOlder(new Set(old.map(bill => bill.requestId)));
    }

    #forgetExpired(): void {
        const before = this.#logTime - (this.#options.windowMilliseconds ?? Number.POSITIVE_INFINITY);
        for (const [requestId, { time }] of this.#billed) {
            if (time >= before) {
                return;
            }
            this.#billed.delete(requestId);
        }
    }

    #addToTotals(bill: Bill): void {
        this.#requests += 1;
        this.#billed.set(bill.requestId, { total: bill.total, time: this.#logTime });
        const before = this.#workspaces.get(bill.workspace);
        let inputTokens = before?.inputTokens ?? 0;
        let outputTokens = before?.outputTokens ?? 0;
        for (const line of bill.lines) {
            inputTokens += line.inputTokens;
            outputTokens += line.outputTokens;
        }
        this.#workspaces.set(bill.workspace, {
            workspace: bill.workspace,
            requests: (before?.requests ?? 0) + 1,
            inputTokens,
            outputTokens,
            total: (before?.total ?? 0) + bill.total,
        });
    }
}
