/**
 * A log in memory behind the transport function, with the faults of the log service.
 */
import type { LogEntry, LogRecord, LogRequest, LogResponse, LogTransport } from "../../src/log/index.js";

/** Fault of an append. */
export type AppendFault = "lost-acknowledgement" | "lost-record" | "overloaded" | "down";

/** A log in memory. */
export class MemoryLog {
    readonly #entries: LogEntry[] = [];
    readonly #faults: AppendFault[] = [];
    #earliest = 0;
    #isDown = false;
    readonly send: LogTransport = request => this.#respond(request);

    getEntries(): readonly LogEntry[] {
        return this.#entries;
    }

    /** Queues faults, one for each of the next appends. */
    failAppends(...faults: readonly AppendFault[]): void {
        this.#faults.push(...faults);
    }

    setDown(isDown: boolean): void {
        this.#isDown = isDown;
    }

    /** Expires all records before an offset. */
    expireBefore(offset: number): void {
        this.#earliest = offset;
    }

    append(record: LogRecord): number {
        const offset = this.#entries.length;
        this.#entries.push({ offset, time: offset, record });
        return offset;
    }

    async #respond(request: LogRequest): Promise<LogResponse> {
        if (this.#isDown) {
            throw new Error("connection refused");
        }
        return request.method === "POST" ? this.#respondToAppend(request) : this.#respondToRead(request);
    }

    #respondToAppend(request: LogRequest): LogResponse {
        const fault = this.#faults.shift();
        if (fault === "overloaded") {
            return { status: 429, retryAfterSeconds: 2, body: "{}" };
        }
        if (fault === "down") {
            return { status: 503, body: "{}" };
        }
        if (fault === "lost-record") {
            throw new Error("connection reset");
        }
        const offset = this.append(JSON.parse(request.body ?? "{}"));
        if (fault === "lost-acknowledgement") {
            throw new Error("connection reset");
        }
        return { status: 200, body: JSON.stringify({ offset, time: offset }) };
    }

    async #respondToRead(request: LogRequest): Promise<LogResponse> {
        const query = new URL(request.url).searchParams;
        const earliest = this.#earliest;
        const next = this.#entries.length;
        if (query.get("from") === "latest") {
            return { status: 200, body: JSON.stringify({ entries: [], next, earliest }) };
        }
        const from = Number(query.get("from"));
        if (from < earliest) {
            return { status: 410, body: JSON.stringify({ earliest, next }) };
        }
        const entries = this.#entries.slice(from, from + Number(query.get("limit") ?? 100));
        if (entries.length === 0) {
            // Yields to the event loop of a follower, as a long poll does.
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        return { status: 200, body: JSON.stringify({ entries, next: from + entries.length, earliest }) };
    }
}

/** Waits until a condition holds, and fails after a timeout. */
export async function waitFor(condition: () => boolean, description: string): Promise<void> {
    const deadline = Date.now() + 10_000;
    while (!condition()) {
        if (Date.now() > deadline) {
            throw new Error(`Timed out waiting for: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}
