/**
 * The ledger's output file, with one JSON line for each billed request.
 *
 * The file is the only persistent state of a ledger. A killed run leaves at most one incomplete last line. That line is
 * truncated, and its record is read again.
 */
import { closeSync, fstatSync, ftruncateSync, openSync, readSync, writeSync } from "node:fs";
import type { LedgerLine } from "./ledger.js";

const chunkBytes = 64 * 1024;
const newline = 0x0a;

/** Appends lines to the file, and reads the lines of earlier runs. */
export class LedgerFile {
    readonly #descriptor: number;

    /** @param path - The file. It is created if it does not exist. */
    constructor(path: string) {
        this.#descriptor = openSync(path, "a+");
    }

    /**
     * Reads the lines of earlier runs, and truncates an incomplete last line.
     * @param onLine - Receives each line in order.
     */
    restore(onLine: (line: LedgerLine) => void): void {
        const incompleteBytes = this.#readLines(onLine);
        if (incompleteBytes > 0) {
            ftruncateSync(this.#descriptor, fstatSync(this.#descriptor).size - incompleteBytes);
        }
    }

    /**
     * Finds the totals of requests by reading the whole file, for the few bills that arrive days late.
     * @param requestIds - The requests.
     */
    find(requestIds: ReadonlySet<string>): ReadonlyMap<string, number> {
        const found = new Map<string, number>();
        this.#readLines(({ bill }) => {
            if (requestIds.has(bill.requestId)) {
                found.set(bill.requestId, bill.total);
            }
        });
        return found;
    }

    /**
     * Appends lines.
     * @param lines - The lines.
     */
    write(lines: readonly LedgerLine[]): void {
        if (lines.length > 0) {
            writeSync(this.#descriptor, lines.map(line => `${JSON.stringify(line)}\n`).join(""));
        }
    }

    /** Reads all complete lines, and returns the number of bytes in an incomplete last line. */
    #readLines(onLine: (line: LedgerLine) => void): number {
        const size = fstatSync(this.#descriptor).size;
        let position = 0;
        let rest: Buffer = Buffer.alloc(0);
        while (position < size) {
            const chunk = Buffer.alloc(Math.min(chunkBytes, size - position));
            position += readSync(this.#descriptor, chunk, 0, chunk.length, position);
            rest = parseLines(Buffer.concat([rest, chunk]), onLine);
        }
        return rest.length;
    }

    /** Closes the file. */
    close(): void {
        closeSync(this.#descriptor);
    }
}

function parseLines(bytes: Buffer, onLine: (line: LedgerLine) => void): Buffer {
    let start = 0;
    for (let end = bytes.indexOf(newline); end >= 0; end = bytes.indexOf(newline, start)) {
        onLine(JSON.parse(bytes.toString("utf8", start, end)) as LedgerLine);
        start = end + 1;
    }
    return bytes.subarray(start);
}
