/**
 * Writes events as JSON lines to standard output, with a bounded volume and without waiting for the reader.
 */
import { createWriteStream } from "node:fs";
import type { Writable } from "node:stream";
import type { Clock } from "../common/index.js";
import { events } from "./catalogue/index.js";
import type { EventLine } from "./journal.js";

/** Maximum average rate of written lines, and maximum number of lines in a burst. */
const linesPerSecond = 400;
const burstLines = 1_200;
/** Maximum pending bytes for a slow reader. Above it, lines are dropped. */
const maxPendingBytes = 512 * 1024;
/**
 * Delay after which buffered lines are written together, in milliseconds. A separate write per line goes through a thread of
 * the runtime's pool, which took a fifth of the processor time of a stream of 30 events. A killed process loses the lines of
 * this period; warnings and errors are written immediately.
 */
const flushDelayMilliseconds = 40;
const standardOutputDescriptor = 1;

/** Options of a line writer. */
export interface LineWriterOptions {
    readonly clock: Clock;
    /** Destination of the lines; by default standard output. */
    readonly output?: Writable;
}

/** Writes lines, drops some if there are too many, and reports the number of dropped lines. */
export class LineWriter {
    readonly #clock: Clock;
    readonly #output: Writable;
    #availableLines = burstLines;
    #refilledAt: number;
    #buffered: string[] = [];
    #bufferedLength = 0;
    #timer: NodeJS.Timeout | undefined;
    #droppedSinceReport = 0;
    #droppedTotal = 0;
    #isBroken = false;

    constructor(options: LineWriterOptions) {
        this.#clock = options.clock;
        // `process.stdout` writes to a pipe synchronously, so a stalled reader would block the whole process.
        this.#output = options.output ?? createWriteStream("", { fd: standardOutputDescriptor, autoClose: false });
        // The reader of the lines may exit. Without a handler, the error ends the process, and callers lose a node because of
        // its log output.
        this.#output.on("error", () => this.#isBroken = true);
        this.#refilledAt = options.clock.monotonic();
    }

    /** Returns the number of lines that were dropped since the start. */
    getDroppedCount(): number {
        return this.#droppedTotal;
    }

    /**
     * Writes a line unless there are too many. The last quarter of the burst is reserved for warnings and errors.
     * @param line - The line.
     */
    write(line: EventLine): void {
        this.#refill();
        const reservedLines = line.level === "info" ? burstLines / 4 : 0;
        const pendingLength = this.#output.writableLength + this.#bufferedLength;
        if (this.#isBroken || this.#availableLines <= reservedLines || pendingLength > maxPendingBytes) {
            this.#droppedSinceReport += 1;
            this.#droppedTotal += 1;
            return;
        }
        if (this.#droppedSinceReport > 0) {
            const count = this.#droppedSinceReport;
            this.#droppedSinceReport = 0;
            const { number, name, level } = events.linesLeftOut;
            this.#enqueue({ ...line, event: number, name, level, request: undefined, count });
        }
        this.#enqueue(line);
        if (line.level === "info") {
            this.#timer ??= setTimeout(() => void this.flush(), flushDelayMilliseconds);
        }
        else {
            void this.flush();
        }
    }

    /** Writes the buffered lines to the output. The promise resolves when they have been written. */
    flush(): Promise<void> {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        const text = this.#buffered.join("");
        this.#buffered = [];
        this.#bufferedLength = 0;
        return this.#isBroken ? Promise.resolve() : new Promise(resolve => this.#output.write(text, () => resolve()));
    }

    #enqueue(line: EventLine & { readonly count?: number; }): void {
        this.#availableLines -= 1;
        const text = `${JSON.stringify(line)}\n`;
        this.#buffered.push(text);
        this.#bufferedLength += text.length;
    }

    #refill(): void {
        const now = this.#clock.monotonic();
        const refilledLines = (now - this.#refilledAt) / 1_000 * linesPerSecond;
        this.#availableLines = Math.min(burstLines, this.#availableLines + refilledLines);
        this.#refilledAt = now;
    }
}
