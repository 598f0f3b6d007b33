/**
 * Gives tests access to the log of a site.
 */
import { type Bill, Ledger } from "../../bills/index.js";
import { callJson } from "../../caller/index.js";
import { systemClock } from "../../common/index.js";
import { Journal } from "../../events/index.js";
import type { LogEntry, LogPage, LogRecord, StreamName } from "../../log/index.js";

/** Reads and appends to a site's log. */
export class SiteLog {
    readonly #getAddress: () => string;

    /** @param getAddress - Returns the listen address of the log. */
    constructor(getAddress: () => string) {
        this.#getAddress = getAddress;
    }

    /**
     * Appends a record to the log.
     * @param stream - The stream.
     * @param record - The record.
     * @returns Its offset.
     */
    async append(stream: StreamName, record: LogRecord): Promise<number> {
        const { offset } = await callJson<{ offset: number; }>({
            address: this.#getAddress(),
            path: `/streams/${stream}`,
            method: "POST",
            body: record,
        });
        return offset;
    }

    /**
     * Reads all entries of a stream.
     * @param stream - The stream.
     */
    async readStream(stream: StreamName): Promise<readonly LogEntry[]> {
        const entries: LogEntry[] = [];
        for (let from = 0;;) {
            const page = await callJson<LogPage>({
                address: this.#getAddress(),
                path: `/streams/${stream}?from=${from}&limit=500`,
            });
            entries.push(...page.entries);
            if (page.entries.length === 0) {
                return entries;
            }
            from = page.next;
        }
    }

    /** Folds the stream of bills as the ledger does, and returns one bill for each request. */
    async readBills(): Promise<ReadonlyMap<string, Bill>> {
        const journal = new Journal({ process: "judge", clock: systemClock, write: () => undefined });
        const ledger = new Ledger({ journal });
        const bills = new Map<string, Bill>();
        for (const entry of await this.readStream("bills")) {
            for (const bill of ledger.apply(entry)) {
                bills.set(bill.requestId, bill);
            }
        }
        return bills;
    }

    /**
     * Returns the offset of the next record that is appended to a stream.
     * @param stream - The stream.
     */
    async getNextOffset(stream: StreamName): Promise<number> {
        const page = await callJson<{ next: number; }>({
            address: this.#getAddress(),
            path: `/streams/${stream}?from=latest`,
        });
        return page.next;
    }
}
