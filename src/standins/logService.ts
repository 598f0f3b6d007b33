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
import { amount, commonConditions, Conditions, probability } from "./conditions.js";
import { LogStream } from "./logStream.js";
import { answerProblem, dropConnection, readJson, StandinServer } from "./standinServer.js";
import { TokenBucket } from "./tokenBucket.js";

const recordBytesLimit = 256 * 1024;
const pageLimit = 1000;
const waitLimitMilliseconds = 30_000;

const schema = z.strictObject({
    ...commonConditions,
    appendsPerSecond: amount.default(400),
    /** Entries that each stream keeps. */
    retainCount: amount.default(100_000),
    retainMilliseconds: amount.default(3_600_000),
    /** So many of the next appends take effect, then lose their connection. */
    lostAcknowledgements: amount.default(0),
    /** Each append takes effect and then loses its connection with this probability. */
    lostAcknowledgementProbability: probability.default(0),
    /** So many of the next appends lose their connection without taking effect. */
    lostAppends: amount.default(0),
});

const recordSchema = z.object({
    id: z.string().min(1),
    kind: z.string().min(1),
    format: z.number().int(),
    writer: z.string(),
    body: z.unknown(),
});

const expirySchema = z.object({ stream: z.string(), offset: z.number().int().min(0) });

/** What the log notes of an append. */
interface AppendJournalEntry {
    readonly stream: string;
    readonly offset: number;
    readonly time: number;
    readonly id: string;
    readonly kind: string;
    readonly writer: string;
    readonly acknowledged: boolean;
}

/** A log service with offsets, rate limit, retention, outages and lost acknowledgements. */
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

    /** Listens; returns the address in use. */
    start(): Promise<Address> {
        return this.#server.start();
    }

    /** Ends the waits of readers and stops listening. */
    async stop(): Promise<void> {
        const stopped = this.#server.stop();
        this.#wakeReaders();
        await stopped;
    }

    /**
     * Changes conditions; `expireBefore: {stream, offset}` forgets the entries before an offset at once.
     * @param change - As the body of `POST /faults`.
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
            answerProblem(context, 400, "bad-record", z.prettifyError(parsed.error));
            return;
        }
        if (JSON.stringify(body).length > recordBytesLimit) {
            answerProblem(context, 413, "too-large", "A record has at most 256 KiB. Split it.");
            return;
        }
        if (this.#consumeFault("lostAppends")) {
            dropConnection(context);
            return;
        }
        if (!this.#bucket.take()) {
            context.set("Retry-After", "1");
            answerProblem(context, 429, "rate-limit", "Too many appends a second. Append fewer, larger records.");
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
        const limit = Math.min(pageLimit, Number(context.query.limit ?? pageLimit));
        const wait = Math.min(waitLimitMilliseconds, Number(context.query.wait ?? 0));
        if (requestedFrom !== "latest" && from >= stream.getNextOffset() && wait > 0) {
            await stream.waitForAppend(wait);
        }
        this.#expire(stream);
        if (this.#conditions.get().outage !== "none") {
            // A reader that waited into an outage loses its connection, as it would with the real service.
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

    /** Counts one of the next so many down; returns whether there was one. */
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
