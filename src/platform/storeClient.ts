/**
 * Client of the platform's store: reads keyed topics and appends to them.
 */
import { err, ok, type Result } from "neverthrow";
import { buildConnector, errors, Pool } from "undici";
import { z } from "zod";
import { type Clock, createPosition, Failure, readPosition, ReadTimeout } from "../common/index.js";
import { isEndless, watchConnections } from "../connections/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "../topics/index.js";
import { headerNames, storePaths } from "./wire.js";

/**
 * How long the store may take in addition to the duration of a long poll. It answers in 4 ms, and in 240 ms when it is sixty
 * times slower. Without the timeout, a call whose response was lost would never end.
 */
const responseTimeoutMilliseconds = 600;
/** Size of a length field, and of the two offsets before the records of a page. */
const lengthBytes = 4;
const pageHeaderBytes = 16;
/**
 * Largest answer that is read. The store sends at most 1 MB of records at a time, in base64 where they have keys; the rest is for keys
 * and for a record that exceeds the page.
 */
const maxResponseBytes = 4 * 1024 * 1024;
/** Connections to the store: one for each followed topic, and several for appends. */
const maxConnections = 8;

const newestSchema = z.object({
    entries: z.array(z.object({ key: z.string(), value: z.string(), offset: z.number() })),
    has_more: z.boolean(),
    end_offset: z.number(),
});
const appendedSchema = z.object({ end_offset: z.number() });
const rejectionSchema = z.object({ reason: z.string() });

interface StoreResponse {
    readonly status: number;
    /** Rises each time the store comes back from an older copy of itself; 0 for a store that does not say. */
    readonly era: number;
    readonly body: Buffer;
}

/** Outcome of an append. `out-of-turn` means that the position is not the next one or that its epoch is outdated. */
export type AppendOutcome = "appended" | "out-of-turn";

/** Position of an append in the sequence of its producer. The store accepts one append for each position. */
export interface AppendPosition {
    /** Identifies the sequence. */
    readonly producer: string;
    /** A later epoch restarts the sequence and fences off earlier ones. */
    readonly epoch: number;
    /** Sequence number; follows the number of the last append in the epoch. */
    readonly sequenceNumber: number;
}

/** Calls the store. */
export class StoreClient {
    readonly #pool: Pool;
    readonly #clock: Clock;

    /**
     * @param address - `HOST:PORT` of the store.
     * @param clock - Provides the start time of reads, from which the age of their results is computed.
     */
    constructor(address: string, clock: Clock) {
        this.#clock = clock;
        this.#pool = new Pool(`http://${address}`, {
            connections: maxConnections,
            pipelining: 1,
            connect: watchConnections(buildConnector({ timeout: responseTimeoutMilliseconds })),
            maxResponseSize: maxResponseBytes,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    /**
     * Returns a reader of a topic.
     * @param topic - Its name.
     */
    createReader(topic: string): KeyedTopicReader {
        return {
            source: "store",
            readAll: () => this.#readAll(topic),
            readSince: (from, waitMilliseconds) => this.#readSince(topic, from, waitMilliseconds),
        };
    }

    /**
     * Appends records of a keyed topic atomically.
     * @param topic - The topic.
     * @param records - The keys and their values.
     * @param position - The append's position, if two writers must not both append there. The store answers a repeated position
     * as it answered the first time and appends nothing, so a writer has to read the topic to see which append took effect.
     * @returns The outcome. After a failure the records may or may not have been appended.
     */
    async append(
        topic: string,
        records: readonly { readonly key: string; readonly value: Buffer; }[],
        position?: AppendPosition,
    ): Promise<Result<AppendOutcome, Failure>> {
        const query = new URLSearchParams({ topic, part: "0" });
        if (position !== undefined) {
            query.set("producer", position.producer);
            query.set("epoch", String(position.epoch));
            query.set("seq_no", String(position.sequenceNumber));
        }
        const response = await this.#call(
            "POST",
            `${storePaths.append}?${query}`,
            0,
            Buffer.concat(records.map(encodeRecord)),
        );
        if (response.isErr()) {
            return err(response.error);
        }
        const { status, body } = response.value;
        switch (status) {
            case 200:
                return parseJson(body, appendedSchema).map(() => "appended");
            case 409:
                return parseJson(body, rejectionSchema).map(() => "out-of-turn");
            default:
                return err(createStatusFailure(status));
        }
    }

    async #readAll(topic: string): Promise<Result<TopicPage, Failure>> {
        const confirmedAt = this.#clock.monotonic();
        const records = new Map<string, KeyedRecord>();
        let first: { readonly era: number; readonly endPosition: number; } | undefined;
        let after: string | undefined;
        for (;;) {
            const query = new URLSearchParams({ topic, part: "0", ...(after === undefined ? {} : { after }) });
            const response = await this.#call("GET", `${storePaths.newest}?${query}`, 0);
            if (response.isErr()) {
                return err(response.error);
            }
            const { status, era, body } = response.value;
            if (status !== 200) {
                return err(createStatusFailure(status));
            }
            const page = parseJson(body, newestSchema);
            if (page.isErr()) {
                return err(page.error);
            }
            // The pages are not a consistent snapshot. Changes made after the first page are read again from that page's end.
            first ??= { era, endPosition: createPosition({ era, offset: page.value.end_offset }) };
            if (era !== first.era) {
                return err(createWentBackFailure(topic));
            }
            for (const { key, value, offset } of page.value.entries) {
                records.set(key, {
                    key,
                    value: Buffer.from(value, "base64"),
                    position: createPosition({ era, offset }),
                });
                after = key;
            }
            if (!page.value.has_more) {
                const { endPosition } = first;
                return ok({ records: [...records.values()], isComplete: true, endPosition, confirmedAt });
            }
        }
    }

    async #readSince(topic: string, from: number, waitMilliseconds: number): Promise<Result<TopicPage, Failure>> {
        const confirmedAt = this.#clock.monotonic();
        const known = readPosition(from);
        const query = new URLSearchParams({
            topic,
            part: "0",
            from: String(known.offset),
            wait_ms: String(waitMilliseconds),
        });
        const response = await this.#call("GET", `${storePaths.read}?${query}`, waitMilliseconds);
        if (response.isErr()) {
            return err(response.error);
        }
        const { status, era, body } = response.value;
        if (status === 410) {
            return err(createOffsetGoneFailure(topic, known.offset));
        }
        if (status !== 200) {
            return err(createStatusFailure(status));
        }
        if (era !== known.era) {
            // The same offset is another record now.
            return err(createWentBackFailure(topic));
        }
        return decodePage(body, from, confirmedAt);
    }

    async #call(
        method: "GET" | "POST",
        path: string,
        waitMilliseconds: number,
        body?: Buffer,
    ): Promise<Result<StoreResponse, Failure>> {
        const controller = new AbortController();
        const timeout = new ReadTimeout(waitMilliseconds + responseTimeoutMilliseconds, () => controller.abort());
        try {
            const response = await this.#pool.request({ method, path, body, signal: controller.signal });
            const content = Buffer.from(await response.body.arrayBuffer());
            const era = Number(response.headers[headerNames.storeEra] ?? 0);
            return Number.isSafeInteger(era)
                ? ok({ status: response.statusCode, era, body: content })
                : err(createUnreadableResponseFailure(`the header ${headerNames.storeEra} is not a number`));
        }
        catch (cause) {
            const hasNoEnd = cause instanceof errors.ResponseExceededMaxSizeError || isEndless(cause);
            return err(hasNoEnd ? createUnreadableResponseFailure("it has no end") : createNoResponseFailure(cause));
        }
        finally {
            timeout.clear();
        }
    }
}

/**
 * Encodes a record of a keyed topic: its length, the length of its key, the key, and the value.
 * @param record - The record.
 */
export function encodeRecord(record: { readonly key: string; readonly value: Buffer; }): Buffer {
    const key = Buffer.from(record.key);
    const length = Buffer.alloc(lengthBytes);
    length.writeUInt32BE(1 + key.length + record.value.length);
    return Buffer.concat([length, Buffer.from([key.length]), key, record.value]);
}

/**
 * Decodes the answer to a read.
 * @param body - The end offset and the first retained offset, then the records.
 * @param from - Position of the first record.
 * @param confirmedAt - Monotonic time at which the read started.
 */
export function decodePage(body: Buffer, from: number, confirmedAt: number): Result<TopicPage, Failure> {
    if (body.length < pageHeaderBytes) {
        return err(createUnreadableResponseFailure("the answer ends early"));
    }
    const records: KeyedRecord[] = [];
    let start = pageHeaderBytes;
    let position = from;
    while (start + lengthBytes <= body.length) {
        const length = body.readUInt32BE(start);
        const record = body.subarray(start + lengthBytes, start + lengthBytes + length);
        if (record.length < length) {
            return err(createUnreadableResponseFailure("a record ends early"));
        }
        const keyEnd = 1 + (record[0] ?? 0);
        const value = record.subarray(keyEnd);
        const key = record.subarray(1, keyEnd).toString();
        records.push({ key, value: value.length === 0 ? undefined : Buffer.from(value), position });
        start += lengthBytes + length;
        position += 1;
    }
    return ok({ records, isComplete: false, endPosition: position, confirmedAt });
}

function parseJson<T>(body: Buffer, schema: z.ZodType<T>): Result<T, Failure> {
    try {
        return ok(schema.parse(JSON.parse(body.toString())));
    }
    catch (cause) {
        return err(createUnreadableResponseFailure(String(cause)));
    }
}

function createStatusFailure(status: number): Failure {
    return new Failure({
        kind: status === 429 ? "overloaded" : "unavailable",
        message: `The store answered with status ${status}.`,
        remedy: "Retry later. Cached state keeps its age until then.",
    });
}

function createOffsetGoneFailure(topic: string, from: number): Failure {
    return new Failure({
        kind: "gone",
        message: `Offset ${from} of the topic ${topic} has expired or was never written.`,
        remedy: "Read the newest record of every key.",
    });
}

function createWentBackFailure(topic: string): Failure {
    return new Failure({
        kind: "gone",
        message: `The store came back from an older copy, and the topic ${topic} has other offsets.`,
        remedy: "Read the newest record of every key.",
    });
}

function createNoResponseFailure(cause: unknown): Failure {
    return new Failure({
        kind: "unavailable",
        message: "The store sent no complete answer.",
        remedy: "Retry. An append may have taken effect, so read the topic first.",
        cause,
    });
}

function createUnreadableResponseFailure(reason: string): Failure {
    return new Failure({
        kind: "protocol",
        message: `The store's answer is malformed: ${reason}.`,
        remedy: "Check that the address in the settings is the store's.",
    });
}
