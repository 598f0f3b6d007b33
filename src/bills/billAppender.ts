/**
 * Appends bills to the log in batches, and retries until the log confirms them.
 */
import { randomUUID } from "node:crypto";
import { type AppendRecord } from "../log/logAccess.js";
import type { LogRecord } from "../log/record.js";
import { type Bill, billsFormat, billsKind, billsStream } from "./bill.js";

const maxBytesPerRecord = 200_000;

/** Appends batches of bills. */
export class BillAppender {
    readonly #append: AppendRecord;
    readonly #writer: string;
    readonly #createId: () => string;
    /** The last record that was sent but not confirmed. It is sent again without changes. */
    #unconfirmed: { readonly record: LogRecord; readonly bills: readonly Bill[]; } | undefined;

    constructor(
        options: { readonly append: AppendRecord; readonly writer: string; readonly createId?: () => string; },
    ) {
        this.#append = options.append;
        this.#writer = options.writer;
        this.#createId = options.createId ?? randomUUID;
    }

    /**
     * Appends as many bills as one record can hold.
     * @param bills - The waiting bills, oldest first.
     * @returns The bills that are now in the log; empty if the log did not confirm the record.
     */
    async appendBatch(bills: Iterable<Bill>): Promise<readonly Bill[]> {
        this.#unconfirmed ??= this.#createBatch(bills);
        const batch = this.#unconfirmed;
        if (batch.bills.length === 0) {
            this.#unconfirmed = undefined;
            return [];
        }
        const appended = await this.#append(billsStream, batch.record);
        if (appended.isErr()) {
            // The record may already be in the log, so it is retried without changes. Bills in different batches would
            // be just as safe, since the ledger removes repeats, but each retry of a long outage would add a record to
            // the stream.
            return [];
        }
        this.#unconfirmed = undefined;
        return batch.bills;
    }

    #createBatch(waiting: Iterable<Bill>): { readonly record: LogRecord; readonly bills: readonly Bill[]; } {
        const bills: Bill[] = [];
        let bytes = 0;
        for (const bill of waiting) {
            bytes += Buffer.byteLength(JSON.stringify(bill));
            if (bills.length > 0 && bytes > maxBytesPerRecord) {
                break;
            }
            bills.push(bill);
        }
        const id = this.#createId();
        return { bills, record: { id, kind: billsKind, format: billsFormat, writer: this.#writer, body: { bills } } };
    }
}
