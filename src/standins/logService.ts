/**
 * Stand-in for the platform's append-only log service.
 */
import type Router from "@koa/router";
import type Koa from "koa";
import type { Result } from "neverthrow";
import { z } from "zod";
import { type Failure, RandomSource, systemClock } from "../common/index.js";
import type { LogRecord } from "../log/index.js";
import type { Address } from "./address.js";
import { commonConditions, Conditions, nonNegativeNumber, probability } from "./conditions.js";
import { LogStream } from "./logStream.js";
import { dropConnection, readJson, sendProblem, StandinServer } from "./standinServer.js";
import { TokenBucket } from "./tokenBucket.js";

const maxRecordBytes = 256 * 1024;
const maxPageEntries = 1000;
const maxWaitMilliseconds = 30_000;

const schema = z.strictObject({
    ...commonConditions,
    appendsPerSecond: nonNegativeNumber.default(400),
    /** Maximum number of entries that each stream retains. */
    retainCount: nonNegativeNumber.default(100_000),
    retainMilliseconds: nonNegativeNumber.default(3_600_000),
    /** Number of upcoming appends that take effect and then lose their connection. */
    lostAcknowledgements: nonNegativeNumber.default(0),
    /** Probability that an append takes effect and then loses its connection. */
    lostAcknowledgementProbability: probability.default(0),
    /** Number of upcoming appends that lose their connection without taking effect. */
    lostAppends: nonNegativeNumber.default(0),
});

const recordSchema = z.object({
    id: z.string().min(1),
    kind: z.string().min(1),
    format: z.number().int(),
    writer: z.string(),
    body: z.unknown(),
});

const expirySchema = z.object({ stream: z.string(), offset: z.number().int().min(0) });

/** Journal entry of an append. */
interface AppendJournalEntry {
    readonly stream: string;
    readonly offset: number;
    readonly time: number;
    readonly id: string;
    readonly kind: string;
    readonly writer: string;
    readonly acknowledged: boolean;
}

/** A log service with offsets, a rate limit, retention, outages and lost acknowledgements. */
export class LogService {
    readonly #conditions: Conditions<z.infer<typeof schema>>;
    readonly #server: StandinServer;
    readonly #streams = new Map<string, LogStream>();
    readonly #bucket: TokenBucket;
    readonly #random: RandomSource;
    readonly #journal: AppendJournalEntry[] = [];

    constructor(listen: Address, settings: object = {}) {
        this.#conditions = new Conditions(schema, settings);
        this.#random = new RandomSource(this.#conditions.get().seed);
        this.#bucket = new TokenBucket(systemClock, () => this.#conditions.get().appendsPerSecond);
        this.#server = new StandinServer({
            listen,
            getConditions: () => this.#conditions.get(),
            changeConditions: change => this.changeConditions(change),
            getJournal: () => this.#journal,
            addRoutes: router => this.#addRoutes(router),
        });
    }

    /** Starts listening and returns the address in use. */
    start(): Promise<Address> {
        return this.#server.start();
    }

    /** Stops listening and wakes the waiting readers, so that their requests end. */
    async stop(): Promise<void> {
        const stopped = this.#server.stop();
        this.#wakeReaders();
        await stopped;
    }

    /**
     * Changes conditions. `expireBefore: {stream, offset}` immediately removes the entries before an offset.
     * @param change - The body of `POST /faults`.
     */
    changeConditions(change: object): Result<unknown, Failure> {
        const { expireBefore, ...conditions } = change as Record<string, unknown>;
        const expiry = expirySchema.safeParse(expireBefore);
        if (expiry.success) {
            this.#getStream(expiry.data.stream).removeBefore(expiry.data.offset);
        }
        const changed = this.#conditions.change(conditions);
        this.#wakeReaders();
        return changed;
    }

    #wakeReaders(): void {
        for (const stream of this.#streams.values()) {
            stream.wakeWaiters();
        }
    }

    #addRoutes(router: Router): void {
        router.post("/streams/:stream", context => this.#append(context, context.params.stream));
        router.get("/streams/:stream", context => this.#read(context, context.params.stream));
    }

    async #append(context: Koa.Context, name: string): Promise<void> {
        const body = await readJson(context);
        const parsed = recordSchema.safeParse(body);
        if (!parsed.success) {
            sendProblem(context, 400, "bad-record", z.prettifyError(parsed.error));
            return;
        }
        if (JSON.stringify(body).length > maxRecordBytes) {
            sendProblem(context, 413, "too-large", "The record is larger than 256 KiB. Split it.");
            return;
        }
        if (this.#consumeFault("lostAppends")) {
            dropConnection(context);
            return;
        }
        if (!this.#bucket.tryTake()) {
            context.set("Retry-After", "1");
            sendProblem(context, 429, "rate-limit", "Too many appends per second. Append fewer, larger records.");
            return;
        }
        this.#finishAppend(context, name, { ...parsed.data, body: parsed.data.body });
    }

    #finishAppend(context: Koa.Context, name: string, record: LogRecord): void {
        const entry = this.#getStream(name).add(record, systemClock.wall());
        const { offset, time } = entry;
        const { id, kind, writer } = record;
        const acknowledged = !this.#shouldLoseAcknowledgement();
        this.#journal.push({ stream: name, offset, time, id, kind, writer, acknowledged });
        if (!acknowledged) {
            dropConnection(context);
            return;
        }
        context.body = { offset, time };
    }

    async #read(context: Koa.Context, name: string): Promise<void> {
        const stream = this.#getStream(name);
        const requestedFrom = String(context.query.from ?? "0");
        const from = requestedFrom === "latest" ? stream.getNextOffset() : Number(requestedFrom);
        const limit = Math.min(maxPageEntries, Number(context.query.limit ?? maxPageEntries));
        const wait = Math.min(maxWaitMilliseconds, Number(context.query.wait ?? 0));
        if (requestedFrom !== "latest" && from >= stream.getNextOffset() && wait > 0) {
            await stream.waitForAppend(wait);
        }
        this.#expire(stream);
        if (this.#conditions.get().outage !== "none") {
            // An outage that starts while a reader waits closes the reader's connection, as with the real service.
            dropConnection(context);
            return;
        }
        if (from < stream.getEarliestOffset()) {
            context.status = 410;
            context.body = { earliest: stream.getEarliestOffset(), next: stream.getNextOffset() };
            return;
        }
        context.body = stream.read(from, limit);
    }

    #shouldLoseAcknowledgement(): boolean {
        if (this.#consumeFault("lostAcknowledgements")) {
            return true;
        }
        const { lostAcknowledgementProbability } = this.#conditions.get();
        return lostAcknowledgementProbability > 0 && this.#random.next() < lostAcknowledgementProbability;
    }

    /** Decrements the counter of a fault. Returns whether the fault applies to this append. */
    #consumeFault(key: "lostAcknowledgements" | "lostAppends"): boolean {
        const remaining = this.#conditions.get()[key];
        if (remaining < 1) {
            return false;
        }
        this.#conditions.change({ [key]: remaining - 1 });
        return true;
    }

    #expire(stream: LogStream): void {
        const { retainCount, retainMilliseconds } = this.#conditions.get();
        stream.expire(retainCount, systemClock.wall() - retainMilliseconds);
    }

    #getStream(name: string): LogStream {
        let stream = this.#streams.get(name);
        if (stream === undefined) {
            stream = new LogStream();
            this.#streams.set(name, stream);
        }
        return stream;
    }
}
