/**
 * The ledger: one bill for each request, from a stream that may hold a bill several times.
 *
 * The first bill of a request in the log's order counts, so every ledger and every restart agrees.
 */
import { events, type Journal } from "../events/index.js";
import type { LogEntry } from "../log/record.js";
import { type Bill, billsBodySchema, billsKind } from "./bill.js";

/** What a workspace owes. */
export interface WorkspaceTotal {
    readonly workspace: string;
    readonly requests: number;
    readonly inputTokens: number;
    readonly outputTokens: number;
    readonly total: number;
}

/** A bill with its place in the stream. */
export interface LedgerLine {
    readonly offset: number;
    readonly bill: Bill;
}

/** Folds the stream of bills. */
export class Ledger {
    readonly #journal: Journal;
    /** The bill of each request. */
    readonly #totals = new Map<string, number>();
    readonly #workspaces = new Map<string, WorkspaceTotal>();
    #offset = -1;
    #repeats = 0;
    #conflicts = 0;
    #gaps = 0;

    constructor(journal: Journal) {
        this.#journal = journal;
    }

    /** Returns the offset to read next. */
    getNextOffset(): number {
        return this.#offset + 1;
    }

    /** Returns how many requests are billed. */
    getSize(): number {
        return this.#totals.size;
    }

    /** Returns how many repeats were removed, how many of them differed, and how often bills expired unread. */
    getCounts(): { readonly repeats: number; readonly conflicts: number; readonly gaps: number; } {
        return { repeats: this.#repeats, conflicts: this.#conflicts, gaps: this.#gaps };
    }

    /** Returns the totals of all workspaces, by name. */
    getTotals(): readonly WorkspaceTotal[] {
        return [...this.#workspaces.values()].sort((left, right) => left.workspace < right.workspace ? -1 : 1);
    }

    /**
     * Takes in a line that an earlier run of the ledger wrote.
     * @param line - The line.
     */
    restore({ offset, bill }: LedgerLine): void {
        // The run may have ended within a record, so that record is read again and its written bills are repeats.
        this.#offset = Math.max(this.#offset, offset - 1);
        if (!this.#totals.has(bill.requestId)) {
            this.#count(bill);
        }
    }

    /**
     * Folds an entry in.
     * @param entry - The next entry of the stream.
     * @returns The bills in it that are the first of their request.
     */
    apply(entry: LogEntry): readonly Bill[] {
        if (entry.offset <= this.#offset) {
            return [];
        }
        this.#offset = entry.offset;
        const body = billsBodySchema.safeParse(entry.record.body);
        if (entry.record.kind !== billsKind || !body.success) {
            return [];
        }
        const first: Bill[] = [];
        for (const bill of body.data.bills) {
            const total = this.#totals.get(bill.requestId);
            if (total === undefined) {
                this.#count(bill);
                first.push(bill);
            }
            else {
                this.#handleRepeat(bill, total);
            }
        }
        return first;
    }

    /**
     * Notes that entries expired before they were read: their bills are missing, and the ledger must say so.
     * @param earliest - The first offset that can still be read.
     */
    handleGap(earliest: number): void {
        this.#gaps += 1;
        this.#journal.write(events.ledgerGap, { expected: this.getNextOffset(), earliest });
        this.#offset = Math.max(this.#offset, earliest - 1);
    }

    #handleRepeat(bill: Bill, total: number): void {
        this.#repeats += 1;
        if (bill.total !== total) {
            this.#conflicts += 1;
            this.#journal.write(events.billConflict, { request: bill.requestId, counted: total, ignored: bill.total });
        }
    }

    #count(bill: Bill): void {
        this.#totals.set(bill.requestId, bill.total);
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
