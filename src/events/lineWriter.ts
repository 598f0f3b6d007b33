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
const mostWaitingBytes = 512 * 1024;
/**
 * Lines are written together after so long, in milliseconds. Each write on its own goes through a thread of the runtime's pool:
 * a fifth of the processor time of a stream of 30 events went there. A process that is killed loses the lines of that time;
 * warnings and errors do not wait.
 */
const gatherMilliseconds = 40;
const standardOutput = 1;

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
    #allowance = burstLines;
    #refilledAt: number;
    #gathered: string[] = [];
    #gatheredLength = 0;
    #timer: NodeJS.Timeout | undefined;
    #leftOut = 0;
    #leftOutInAll = 0;
    #isBroken = false;

    constructor(options: LineWriterOptions) {
        this.#clock = options.clock;
        // A pipe behind process.stdout is written synchronously: a reader that stalls would stop the whole process.
        this.#output = options.output ?? createWriteStream("", { fd: standardOutput, autoClose: false });
        // Whoever reads the lines may go away. Unheard, the error ends the process, and callers lose a node for its log.
        this.#output.on("error", () => this.#isBroken = true);
        this.#refilledAt = options.clock.monotonic();
    }

    /** Returns how many lines were left out since the start. */
    getLeftOut(): number {
        return this.#leftOutInAll;
    }

    /**
     * Writes a line, unless there are too many. Warnings and errors may use the last part of the bound.
     * @param line - The line.
     */
    write(line: EventLine): void {
        this.#refill();
        const reserve = line.level === "info" ? burstLines / 4 : 0;
        const waiting = this.#output.writableLength + this.#gatheredLength;
        if (this.#isBroken || this.#allowance <= reserve || waiting > mostWaitingBytes) {
            this.#leftOut += 1;
            this.#leftOutInAll += 1;
            return;
        }
        if (this.#leftOut > 0) {
            const count = this.#leftOut;
            this.#leftOut = 0;
            const { number, name, level } = events.linesLeftOut;
            this.#print({ ...line, event: number, name, level, request: undefined, count });
        }
        this.#print(line);
        if (line.level === "info") {
            this.#timer ??= setTimeout(() => void this.flush(), gatherMilliseconds);
        }
        else {
            void this.flush();
        }
    }

    /** Hands on what was gathered; resolves when it has been written. */
    flush(): Promise<void> {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        const text = this.#gathered.join("");
        this.#gathered = [];
        this.#gatheredLength = 0;
        return this.#isBroken ? Promise.resolve() : new Promise(resolve => this.#output.write(text, () => resolve()));
    }

    #print(line: EventLine & { readonly count?: number; }): void {
        this.#allowance -= 1;
        const text = `${JSON.stringify(line)}\n`;
        this.#gathered.push(text);
        this.#gatheredLength += text.length;
    }

    #refill(): void {
        const now = this.#clock.monotonic();
        const gained = (now - this.#refilledAt) / 1_000 * linesPerSecond;
        this.#allowance = Math.min(burstLines, this.#allowance + gained);
        this.#refilledAt = now;
    }
}
