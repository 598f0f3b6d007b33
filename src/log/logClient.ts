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
/** The log service takes no larger record. */
export const maxRecordBytes = 256 * 1024;

/** Options of a log client. */
export interface LogClientOptions {
    /** Base URL of the log service. */
    readonly url: string;
    readonly clock: Clock;
    /** How long to wait for an answer, on top of a long poll's own wait. */
    readonly timeoutMilliseconds?: number;
    /** Carries requests; by default undici. */
    readonly send?: LogTransport;
    /** Waits between attempts; by default on the machine's timers. */
    readonly sleep?: (milliseconds: number) => Promise<unknown>;
    /**
     * Returns the newest record format that every member reads. A newer record is refused, because a member that cannot
     * read it would fold another state than the rest, and nobody would see that. Without it all formats are written.
     */
    readonly getNewestFormat?: () => number;
}

/** Options of a read. */
export interface ReadOptions {
    /** The most entries that a page may hold. */
    readonly limit?: number;
    /** How long the log may wait for a new record before it answers with an empty page. */
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

/** A read below the log's retention. */
export class RetentionFailure extends Failure {
    /** The oldest offset that the log still keeps. */
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
     * Appends a record once, without repeating it.
     * @param stream - The stream to append to.
     * @param record - The record.
     * @returns The record's offset. A failure of the kind `unavailable` leaves it open whether the record was appended.
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
     * @param from - The first offset wanted, or `latest` for an empty page at the end of the stream.
     * @param options - The size of the page and how long to wait for new records.
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
     * Appends a record and makes sure of its place.
     *
     * A lost acknowledgement leaves two possibilities, and guessing either way is wrong: taken for a failure, a change
     * in force is reported as refused; taken for a success, a change that never arrived is reported as in force. So
     * the stream is read on from an offset known before the append. A record that is not there yet may still arrive;
     * it is therefore appended again under the same identifier, which is harmless because every fold counts only the
     * first record of an identifier. That first record's offset is returned, never the repeat's.
     * @param stream - The stream to append to.
     * @param record - The record.
     * @param knownOffset - An offset that the record lies at or after, known before this call.
     * @param timeoutMilliseconds - How long to go on trying.
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
            // Once an append was acknowledged only the reading is left; more repeats would fill the log for nothing.
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
                message: `The log answered ${response.status} with a body that cannot be read.`,
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
            message: "The log is above its rate limit and did not take the request.",
            remedy: "Wait for the time in Retry-After, and batch appends.",
            retryAfterMilliseconds: retryAfterMilliseconds ?? 1_000,
        });
    }
    if (response.status >= 500) {
        return new Failure({
            kind: "unavailable",
            message: `The log answered ${response.status}.`,
            remedy: "Read on before repeating an append: a failing log may still have taken it.",
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
        message: `No whole answer came from the log at ${new URL(url).origin}.`,
        remedy: isAppend
            ? "The append may have taken effect: read on from the offset known before it, and look for its identifier."
            : "Try again after a while.",
        cause,
    });
}

function createTooLargeFailure(stream: string, bytes: number): Failure {
    return new Failure({
        kind: "invalid-input",
        message: `A record of ${bytes} bytes for the stream ${stream} is above the log's bound of ${maxRecordBytes}.`,
        remedy: "Split it into several records.",
    });
}

function createUnconfirmedFailure(stream: string, record: LogRecord): Failure {
    return new Failure({
        kind: "unavailable",
        message: `It is unknown whether the record ${record.id} reached the stream ${stream}.`,
        remedy: "Read the stream on when the log answers again, and look for that identifier.",
    });
}

function createRefusedFailure(stream: string): Failure {
    return new Failure({
        kind: "overloaded",
        message: `The log kept refusing an append to the stream ${stream}; nothing was appended.`,
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
        remedy: "Finish the replacement of the entries by the new release; until then write an older format.",
        retryAfterMilliseconds: 1000,
    });
}
