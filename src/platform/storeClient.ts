/**
 * Client of the platform's store: reads keyed topics and appends to them.
 */
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { z } from "zod";
import { type Clock, Failure } from "../common/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "../topics/index.js";
import { storePaths } from "./wire.js";

/**
 * How long the store may take beyond a long poll's own wait, in milliseconds. It answers in 4 ms, and in 240 ms when it is
 * sixty times slower; a connection on which an answer was lost never brings one.
 */
const responseTimeoutMilliseconds = 600;
/** Bytes of a length, and of the two offsets before the records of a read. */
const lengthBytes = 4;
const pageHeaderBytes = 16;
/** Connections to the store: one for each topic that is followed, and some for appends. */
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
    readonly body: Buffer;
}

/** How an append ended. */
export type AppendOutcome = "appended" | "out-of-turn";

/** The place of an append among others of the same matter; the store takes one append for each place. */
export interface AppendPosition {
    /** Names the matter. */
    readonly matter: string;
    /** A later epoch begins the matter anew and shuts out earlier ones. */
    readonly epoch: number;
    /** Follows the number of the last append in the epoch. */
    readonly number: number;
}

/** Calls the store. */
export class StoreClient {
    readonly #pool: Pool;
    readonly #clock: Clock;

    /**
     * @param address - `HOST:PORT` of the store.
     * @param clock - Tells when a read began, from which its answer's age counts.
     */
    constructor(address: string, clock: Clock) {
        this.#clock = clock;
        this.#pool = new Pool(`http://${address}`, {
            connections: maxConnections,
            pipelining: 1,
            connectTimeout: responseTimeoutMilliseconds,
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
     * Appends the newest records of some keys, all or none.
     * @param topic - The topic.
     * @param records - The keys and their values.
     * @param position - The append's place, if it must not be taken twice. The store answers a repeated place as it answered the first time
     * and appends nothing, so whoever takes a turn reads the topic to learn what was appended.
     * @returns The outcome; a failure leaves it open whether the records were appended.
     */
    async append(
        topic: string,
        records: readonly { readonly key: string; readonly value: Buffer; }[],
        position?: AppendPosition,
    ): Promise<Result<AppendOutcome, Failure>> {
        const query = new URLSearchParams({ topic, part: "0" });
        if (position !== undefined) {
            query.set("producer", position.matter);
            query.set("epoch", String(position.epoch));
            query.set("seq_no", String(position.number));
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
        let end: number | undefined;
        let after: string | undefined;
        for (;;) {
            const query = new URLSearchParams({ topic, part: "0", ...(after === undefined ? {} : { after }) });
            const response = await this.#call("GET", `${storePaths.newest}?${query}`, 0);
            if (response.isErr()) {
                return err(response.error);
            }
            if (response.value.status !== 200) {
                return err(createStatusFailure(response.value.status));
            }
            const page = parseJson(response.value.body, newestSchema);
            if (page.isErr()) {
                return err(page.error);
            }
            for (const { key, value, offset } of page.value.entries) {
                records.set(key, { key, value: Buffer.from(value, "base64"), offset });
                after = key;
            }
            // Pages are no snapshot: what changed after the first page is read again from that page's end.
            end ??= page.value.end_offset;
            if (!page.value.has_more) {
                return ok({ records: [...records.values()], isComplete: true, endOffset: end, confirmedAt });
            }
        }
    }

    async #readSince(topic: string, from: number, waitMilliseconds: number): Promise<Result<TopicPage, Failure>> {
        const confirmedAt = this.#clock.monotonic();
        const query = new URLSearchParams({ topic, part: "0", from: String(from), wait_ms: String(waitMilliseconds) });
        const response = await this.#call("GET", `${storePaths.read}?${query}`, waitMilliseconds);
        if (response.isErr()) {
            return err(response.error);
        }
        const { status, body } = response.value;
        if (status === 410) {
            return err(createOffsetExpiredFailure(topic, from));
        }
        if (status !== 200) {
            return err(createStatusFailure(status));
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
        const timer = setTimeout(() => controller.abort(), waitMilliseconds + responseTimeoutMilliseconds);
        try {
            const response = await this.#pool.request({ method, path, body, signal: controller.signal });
            return ok({ status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer()) });
        }
        catch (cause) {
            return err(createNoResponseFailure(cause));
        }
        finally {
            clearTimeout(timer);
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
 * @param body - The end and the first kept offset, then records.
 * @param from - Offset of the first record.
 * @param confirmedAt - Monotonic time at which the read began.
 */
export function decodePage(body: Buffer, from: number, confirmedAt: number): Result<TopicPage, Failure> {
    if (body.length < pageHeaderBytes) {
        return err(createUnreadableResponseFailure("the answer ends early"));
    }
    const records: KeyedRecord[] = [];
    let position = pageHeaderBytes;
    let offset = from;
    while (position + lengthBytes <= body.length) {
        const length = body.readUInt32BE(position);
        const record = body.subarray(position + lengthBytes, position + lengthBytes + length);
        if (record.length < length) {
            return err(createUnreadableResponseFailure("a record ends early"));
        }
        const keyEnd = 1 + (record[0] ?? 0);
        const value = record.subarray(keyEnd);
        const key = record.subarray(1, keyEnd).toString();
        records.push({ key, value: value.length === 0 ? undefined : Buffer.from(value), offset });
        position += lengthBytes + length;
        offset += 1;
    }
    return ok({ records, isComplete: false, endOffset: offset, confirmedAt });
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
        message: `The store answered ${status}.`,
        remedy: "Try again after a while; beliefs keep their age meanwhile.",
    });
}

function createOffsetExpiredFailure(topic: string, from: number): Failure {
    return new Failure({
        kind: "gone",
        message: `Offset ${from} of the topic ${topic} has expired.`,
        remedy: "Read the newest record of every key.",
    });
}

function createNoResponseFailure(cause: unknown): Failure {
    return new Failure({
        kind: "unavailable",
        message: "No whole answer came from the store.",
        remedy: "Try again; an append may have taken effect, so read the topic first.",
        cause,
    });
}

function createUnreadableResponseFailure(reason: string): Failure {
    return new Failure({
        kind: "protocol",
        message: `The store's answer cannot be read: ${reason}.`,
        remedy: "Check that the address in the settings is the store's.",
    });
}
