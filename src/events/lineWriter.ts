/**
 * Writes events as JSON lines to standard output, within a bound and without ever waiting for whoever reads them.
 */
import { createWriteStream } from "node:fs";
import type { Writable } from "node:stream";
import type { Clock } from "../common/index.js";
import { events } from "./catalogue.js";
import type { EventLine } from "./journal.js";

/** Lines in a second that are written on average, and how many may come at once. */
const linesPerSecond = 400;
const burstLines = 1_200;
/** Bytes that may wait for a slow reader; beyond them lines are left out. */
const maxPendingBytes = 512 * 1024;
/**
 * Lines are written together after so long, in milliseconds. Each write on its own goes through a thread of the runtime's pool:
 * a fifth of the processor time of a stream of 30 events went there. A process that is killed loses the lines of that time;
 * warnings and errors do not wait.
 */
const flushDelayMilliseconds = 40;
const standardOutputDescriptor = 1;

/** Options of a line writer. */
export interface LineWriterOptions {
    readonly clock: Clock;
    /** Where lines go; by default standard output. */
    readonly output?: Writable;
}

/** Writes lines, leaves some out when there are too many, and says how many. */
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
        // A pipe behind process.stdout is written synchronously: a reader that stalls would stop the whole process.
        this.#output = options.output ?? createWriteStream("", { fd: standardOutputDescriptor, autoClose: false });
        // Whoever reads the lines may go away. Unheard, the error ends the process, and callers lose a node for its log.
        this.#output.on("error", () => this.#isBroken = true);
        this.#refilledAt = options.clock.monotonic();
    }

    /** Returns how many lines were left out since the start. */
    getDroppedCount(): number {
        return this.#droppedTotal;
    }

    /**
     * Writes a line, unless there are too many. Warnings and errors may use the last part of the bound.
     * @param line - The line.
     */
    write(line: EventLine): void {
        this.#refill();
        const reserve = line.level === "info" ? burstLines / 4 : 0;
        const pendingLength = this.#output.writableLength + this.#bufferedLength;
        if (this.#isBroken || this.#availableLines <= reserve || pendingLength > maxPendingBytes) {
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

    /** Hands on what was gathered; resolves when it has been written. */
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
