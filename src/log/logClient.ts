/**
 * The client of the platform's append-only log.
 */
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleepFor } from "node:timers/promises";
import { z } from "zod";
import { type Clock, Failure } from "../common/index.js";
import type { LogPage, LogRecord, StreamName } from "./record.js";
import { createTransport, type LogResponse, type LogTransport } from "./transport.js";

const defaultTimeoutMilliseconds = 5_000;
const defaultConfirmTimeoutMilliseconds = 30_000;
const confirmPauseMilliseconds = 250;
const searchPageLimit = 500;
/** Upper limit of the log service for the size of a record. */
export const maxRecordBytes = 256 * 1024;

/** Options of a log client. */
export interface LogClientOptions {
    /** Base URL of the log service. */
    readonly url: string;
    readonly clock: Clock;
    /** Timeout of a response, in addition to the wait of a long poll. */
    readonly timeoutMilliseconds?: number;
    /** Sends requests. The default uses undici. */
    readonly send?: LogTransport;
    /** Waits between attempts. The default uses a timer. */
    readonly sleep?: (milliseconds: number) => Promise<unknown>;
    /**
     * Returns the newest record format that every member reads. Records in a newer format are refused: a member that
     * cannot read one would fold a different state than the others, and nothing would report that. If undefined, all
     * formats are written.
     */
    readonly getNewestFormat?: () => number;
}

/** Options of a read. */
export interface ReadOptions {
    /** Maximum number of entries in a page. */
    readonly limit?: number;
    /** How long the log may wait for a new record before it returns an empty page. */
    readonly waitMilliseconds?: number;
    readonly signal?: AbortSignal;
}

const appendedSchema = z.object({ offset: z.number().int().nonnegative() });
const recordSchema = z.object({
    id: z.string(),
    kind: z.string(),
    format: z.number(),
    writer: z.string(),
    body: z.unknown(),
});
const pageSchema = z.object({
    entries: z.array(z.object({ offset: z.number().int().nonnegative(), time: z.number(), record: recordSchema })),
    next: z.number().int().nonnegative(),
    earliest: z.number().int().nonnegative(),
});
const goneSchema = z.object({ earliest: z.number().int().nonnegative() });

/** Failure of a read below the earliest offset that the log retains. */
export class RetentionFailure extends Failure {
    /** The earliest offset that the log retains. */
    readonly earliest: number;

    constructor(stream: string, from: number, earliest: number) {
        super({
            kind: "gone",
            message: `Offset ${from} of the stream ${stream} has expired.`,
            remedy: `Read on from ${earliest}, starting from a snapshot that covers it.`,
        });
        this.earliest = earliest;
    }
}

/** Appends to the log's streams and reads them. */
export class LogClient {
    readonly #url: string;
    readonly #clock: Clock;
    readonly #timeoutMilliseconds: number;
    readonly #send: LogTransport;
    readonly #sleep: (milliseconds: number) => Promise<unknown>;
    readonly #getNewestFormat: () => number;

    constructor(options: LogClientOptions) {
        this.#url = options.url.replace(/\/+$/, "");
        this.#clock = options.clock;
        this.#timeoutMilliseconds = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
        this.#send = options.send ?? createTransport();
        this.#getNewestFormat = options.getNewestFormat ?? (() => Number.POSITIVE_INFINITY);
        this.#sleep = options.sleep ?? (milliseconds => sleepFor(milliseconds));
    }

    /**
     * Appends a record once, without retries.
     * @param stream - The stream to append to.
     * @param record - The record.
     * @returns The offset of the record. After a failure of the kind `unavailable`, it is unknown whether the record
     * was appended.
     */
    async append(stream: StreamName, record: LogRecord): Promise<Result<number, Failure>> {
        if (record.format > this.#getNewestFormat()) {
            return err(createTooNewFailure(stream, record));
        }
        const body = JSON.stringify(record);
        if (Buffer.byteLength(body) > maxRecordBytes) {
            return err(createTooLargeFailure(stream, Buffer.byteLength(body)));
        }
        const response = await this.#request({
            method: "POST",
            url: `${this.#url}/streams/${stream}`,
            body,
            timeoutMilliseconds: this.#timeoutMilliseconds,
        });
        if (response.isErr()) {
            return err(response.error);
        }
        return parseBody(response.value, appendedSchema).map(appended => appended.offset);
    }

    /**
     * Reads a page of a stream.
     * @param stream - The stream.
     * @param from - The first offset to read, or `latest` for an empty page at the end of the stream.
     * @param options - The size of the page, and how long to wait for new records.
     * @returns The page, or a `RetentionFailure` when the offset has expired.
     */
    async read(
        stream: StreamName,
        from: number | "latest",
        options: ReadOptions = {},
    ): Promise<Result<LogPage, Failure>> {
        const wait = options.waitMilliseconds ?? 0;
        const query = new URLSearchParams({ from: String(from), wait: String(wait) });
        if (options.limit !== undefined) {
            query.set("limit", String(options.limit));
        }
        const response = await this.#request({
            method: "GET",
            url: `${this.#url}/streams/${stream}?${query}`,
            timeoutMilliseconds: this.#timeoutMilliseconds + wait,
            signal: options.signal,
        });
        if (response.isErr()) {
            return err(response.error);
        }
        if (response.value.status === 410) {
            return parseBody(response.value, goneSchema)
                .andThen(gone => err(new RetentionFailure(stream, Number(from), gone.earliest)));
        }
        return parseBody(response.value, pageSchema);
    }

    /**
     * Appends a record and confirms its offset.
     *
     * After a lost acknowledgement, the record may have been appended or not, and neither may be assumed. If a lost
     * acknowledgement counted as a failure, a change that is in force would be reported as refused. If it counted as a
     * success, a change that never arrived would be reported as in force. The stream is therefore read from an offset
     * that was known before the append. A record that is not found may still arrive, so it is appended again with the
     * same identifier. This is harmless, because every fold ignores repeated identifiers. The offset of the first
     * record is returned, never that of a repeat.
     * @param stream - The stream to append to.
     * @param record - The record.
     * @param knownOffset - An offset known before this call, which is not greater than that of the record.
     * @param timeoutMilliseconds - Time after which no further attempt is made.
     */
    async appendAndConfirm(
        stream: StreamName,
        record: LogRecord,
        knownOffset: number,
        timeoutMilliseconds = defaultConfirmTimeoutMilliseconds,
    ): Promise<Result<number, Failure>> {
        const deadline = this.#clock.monotonic() + timeoutMilliseconds;
        let isUncertain = false;
        let appended = await this.append(stream, record);
        for (;;) {
            if (appended.isOk() && !isUncertain) {
                return appended;
            }
            if (appended.isErr() && !isRetryable(appended.error)) {
                return appended;
            }
            isUncertain ||= appended.isErr() && appended.error.kind === "unavailable";
            if (isUncertain) {
                const found = await this.#findRecordOffset(stream, record.id, knownOffset);
                if (found.isErr() && found.error.kind === "gone") {
                    return err(found.error);
                }
                if (found.isOk() && found.value !== undefined) {
                    return ok(found.value);
                }
            }
            const retryAfterMilliseconds = appended.isErr() ? appended.error.retryAfterMilliseconds : undefined;
            const pauseMilliseconds = retryAfterMilliseconds ?? confirmPauseMilliseconds;
            if (this.#clock.monotonic() + pauseMilliseconds > deadline) {
                return err(isUncertain ? createUnconfirmedFailure(stream, record) : createRefusedFailure(stream));
            }
            await this.#sleep(pauseMilliseconds);
            // After an acknowledged append, only the read is retried; repeating the append would only fill the log.
            if (appended.isErr()) {
                appended = await this.append(stream, record);
            }
        }
    }

    async #findRecordOffset(
        stream: StreamName,
        id: string,
        knownOffset: number,
    ): Promise<Result<number | undefined, Failure>> {
        let from = knownOffset;
        for (;;) {
            const page = await this.read(stream, from, { limit: searchPageLimit });
            if (page.isErr()) {
                return err(page.error);
            }
            for (const entry of page.value.entries) {
                if (entry.record.id === id) {
                    return ok(entry.offset);
                }
            }
            if (page.value.entries.length === 0 || page.value.next <= from) {
                return ok(undefined);
            }
            from = page.value.next;
        }
    }

    async #request(request: Parameters<LogTransport>[0]): Promise<Result<LogResponse, Failure>> {
        try {
            const response = await this.#send(request);
            const failure = createStatusFailure(response);
            return failure === undefined ? ok(response) : err(failure);
        }
        catch (cause) {
            return err(createNoResponseFailure(request.url, request.method, cause));
        }
    }
}

function parseBody<T>(response: LogResponse, schema: z.ZodType<T>): Result<T, Failure> {
    try {
        return ok(schema.parse(JSON.parse(response.body)));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "protocol",
                message: `The log answered ${response.status} with a body that cannot be parsed.`,
                remedy: "Check that the log URL points at the platform's log service.",
                cause,
            }),
        );
    }
}

function createStatusFailure(response: LogResponse): Failure | undefined {
    const retryAfterMilliseconds = response.retryAfterSeconds === undefined
        ? undefined
        : response.retryAfterSeconds * 1_000;
    if (response.status === 429) {
        return new Failure({
            kind: "overloaded",
            message: "The log is above its rate limit and rejected the request.",
            remedy: "Wait for the time in Retry-After, and batch appends.",
            retryAfterMilliseconds: retryAfterMilliseconds ?? 1_000,
        });
    }
    if (response.status >= 500) {
        return new Failure({
            kind: "unavailable",
            message: `The log answered ${response.status}.`,
            remedy: "Read on before repeating an append: a failing log may still have appended it.",
            retryAfterMilliseconds,
        });
    }
    if (response.status >= 400 && response.status !== 410) {
        return new Failure({
            kind: "protocol",
            message: `The log refused the request with ${response.status}.`,
            remedy: "Check the record's size, the stream's name and the log URL.",
        });
    }
    return undefined;
}

function createNoResponseFailure(url: string, method: string, cause: unknown): Failure {
    const isAppend = method === "POST";
    return new Failure({
        kind: "unavailable",
        message: `No complete response arrived from the log at ${new URL(url).origin}.`,
        remedy: isAppend
            ? "The append may have taken effect: read on from the offset known before it, and look for its identifier."
            : "Try again later.",
        cause,
    });
}

function createTooLargeFailure(stream: string, bytes: number): Failure {
    return new Failure({
        kind: "invalid-input",
        message: `A record of ${bytes} bytes for the stream ${stream} exceeds the log's limit of ${maxRecordBytes}.`,
        remedy: "Split it into several records.",
    });
}

function createUnconfirmedFailure(stream: string, record: LogRecord): Failure {
    return new Failure({
        kind: "unavailable",
        message: `It is unknown whether the record ${record.id} reached the stream ${stream}.`,
        remedy: "Continue reading the stream when the log answers again, and look for that identifier.",
    });
}

function createRefusedFailure(stream: string): Failure {
    return new Failure({
        kind: "overloaded",
        message: `The log repeatedly rejected an append to the stream ${stream}; nothing was appended.`,
        remedy: "Try again later, or raise the log's rate limit.",
    });
}

function isRetryable(failure: Failure): boolean {
    return failure.kind === "unavailable" || failure.kind === "overloaded";
}

function createTooNewFailure(stream: string, record: LogRecord): Failure {
    return new Failure({
        kind: "overloaded",
        message: `A member cannot read format ${record.format}, so a record of it was not appended to ${stream}.`,
        remedy: "Finish replacing the entries by the new release; until then, write an older format.",
        retryAfterMilliseconds: 1000,
    });
}
