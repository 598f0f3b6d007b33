/**
 * Simulates the part of the platform's store that nodes use: keyed topics with long polls and sequenced appends.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

interface StoredRecord {
    readonly key: string;
    readonly value: Buffer;
}

interface AppendAnswer {
    readonly status: number;
    readonly body: object;
}

/** The appends of a producer to a topic. */
interface Producer {
    readonly epoch: number;
    readonly answers: readonly { readonly sequence: number; readonly answer: AppendAnswer; }[];
}

/** Number of appends per producer whose answers are retained. Repeating one of these appends returns its first answer. */
const maxRetainedAnswers = 5;

/** Fault that the store simulates. */
export type StoreFault = "well" | "busy" | "silent" | "loses-answers";

/** What the store held at a moment. */
export interface StoreCopy {
    readonly topics: ReadonlyMap<string, readonly StoredRecord[]>;
    readonly firstOffsets: ReadonlyMap<string, number>;
    readonly producers: ReadonlyMap<string, Producer>;
}

/** Stores topics in memory. */
export class StoreStandin {
    readonly #topics = new Map<string, StoredRecord[]>();
    readonly #firstOffsets = new Map<string, number>();
    readonly #waitingReads = new Set<() => void>();
    /** Keys are topic and producer, separated by a space. */
    readonly #producers = new Map<string, Producer>();
    readonly #server: Server;
    /** Rises each time the store comes back from a copy. */
    #era = 1;
    fault: StoreFault = "well";
    /** Faults for single callers, by their address. */
    readonly faultsByCaller = new Map<string, StoreFault>();
    /** Additional delay of the reads of single topics, in milliseconds. */
    readonly readDelays = new Map<string, number>();
    /** Delay of appends that arrive from now on before they take effect, in milliseconds. */
    appendDelay = 0;
    /** Received calls as `METHOD PATH ADDRESS`. */
    readonly calls: string[] = [];

    constructor() {
        this.#server = createServer((request, response) => void this.#answer(request, response));
        this.#server.keepAliveTimeout = 30_000;
    }

    /** Starts to listen. */
    listen(host: string, port: number): Promise<void> {
        return new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /**
     * Appends a record as the operator or an upstream does.
     * @returns Its offset.
     */
    put(topic: string, key: string, value: unknown): number {
        const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
        this.#append(topic, [{ key, value: bytes }]);
        return this.#getRecords(topic).length - 1;
    }

    /** Removes a key. */
    remove(topic: string, key: string): void {
        this.#append(topic, [{ key, value: Buffer.alloc(0) }]);
    }

    /** Removes the history of a topic. The latest record of each key stays. */
    compact(topic: string): void {
        this.#firstOffsets.set(topic, this.#getRecords(topic).length);
    }

    /** Returns a copy of what the store holds. */
    takeCopy(): StoreCopy {
        return {
            topics: new Map([...this.#topics].map(([topic, records]) => [topic, [...records]])),
            firstOffsets: new Map(this.#firstOffsets),
            producers: new Map(this.#producers),
        };
    }

    /**
     * Comes back from a copy: what was written since is lost, and its offsets are given out again. Ends all connections.
     * @param rewrittenTopics - Topics whose writers write the newest records that were lost again at once.
     */
    restore({ topics, firstOffsets, producers }: StoreCopy, rewrittenTopics: readonly string[] = []): void {
        const lost = rewrittenTopics.map(topic =>
            [topic, this.#getLost(topic, topics.get(topic)?.length ?? 0)] as const
        );
        this.#era += 1;
        this.#topics.clear();
        for (const [topic, records] of topics) {
            this.#topics.set(topic, [...records]);
        }
        replaceAll(this.#firstOffsets, firstOffsets);
        replaceAll(this.#producers, producers);
        this.#waitingReads.clear();
        this.#server.closeAllConnections();
        for (const [topic, records] of lost) {
            this.#append(topic, records);
        }
    }

    /** Returns the newest record of each key that was written from an offset on. */
    #getLost(topic: string, from: number): readonly StoredRecord[] {
        const newest = new Map<string, StoredRecord>();
        for (const record of this.#getRecords(topic).slice(from)) {
            newest.delete(record.key);
            newest.set(record.key, record);
        }
        return [...newest.values()];
    }

    /** Returns the latest value of a key, parsed as JSON. */
    get(topic: string, key: string): unknown {
        const record = this.#getRecords(topic).filter(entry => entry.key === key).at(-1);
        return record === undefined || record.value.length === 0 ? undefined : JSON.parse(record.value.toString());
    }

    #append(topic: string, records: readonly StoredRecord[]): void {
        this.#getRecords(topic).push(...records);
        for (const notify of [...this.#waitingReads]) {
            notify();
        }
    }

    #getRecords(topic: string): StoredRecord[] {
        let records = this.#topics.get(topic);
        if (records === undefined) {
            records = [];
            this.#topics.set(topic, records);
        }
        return records;
    }

    async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const caller = request.socket.remoteAddress ?? "";
        const fault = this.faultsByCaller.get(caller) ?? this.fault;
        this.calls.push(`${request.method} ${url.pathname} ${caller}`);
        response.setHeader("Store-Era", String(this.#era));
        if (fault === "silent") {
            return;
        }
        if (fault === "busy") {
            response.writeHead(429).end();
            return;
        }
        const topic = url.searchParams.get("topic") ?? "";
        if (request.method === "GET" && this.readDelays.has(topic)) {
            await new Promise(resolve => setTimeout(resolve, this.readDelays.get(topic)));
        }
        switch (url.pathname) {
            case "/v1/log-newest":
                this.#answerNewest(topic, response);
                return;
            case "/v1/log-read":
                await this.#answerRead(topic, url.searchParams, response);
                return;
            case "/v1/log-append":
                await this.#answerAppend(topic, url.searchParams, request, response, fault);
                return;
            default:
                response.writeHead(404).end();
        }
    }

    #answerNewest(topic: string, response: ServerResponse): void {
        const newest = new Map<string, { key: string; value: string; offset: number; }>();
        for (const [offset, { key, value }] of this.#getRecords(topic).entries()) {
            newest.delete(key);
            if (value.length > 0) {
                newest.set(key, { key, value: value.toString("base64"), offset });
            }
        }
        const body = { entries: [...newest.values()], has_more: false, end_offset: this.#getRecords(topic).length };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    async #answerRead(topic: string, query: URLSearchParams, response: ServerResponse): Promise<void> {
        const from = Number(query.get("from"));
        const first = this.#firstOffsets.get(topic) ?? 0;
        if (from < first || from > this.#getRecords(topic).length) {
            response.writeHead(410).end(JSON.stringify({ first_offset: first }));
            return;
        }
        await this.#waitForRecords(topic, from, Number(query.get("wait_ms") ?? 0));
        const records = this.#getRecords(topic);
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(records.length), 0);
        header.writeBigUInt64BE(BigInt(first), 8);
        response.writeHead(200).end(Buffer.concat([header, ...records.slice(from).map(encode)]));
    }

    #waitForRecords(topic: string, from: number, milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waitingReads.delete(check);
                resolve();
            };
            const check = (): void => {
                if (this.#getRecords(topic).length > from) {
                    finish();
                }
            };
            const timer = setTimeout(finish, milliseconds);
            this.#waitingReads.add(check);
            check();
        });
    }

    async #answerAppend(
        topic: string,
        query: URLSearchParams,
        request: IncomingMessage,
        response: ServerResponse,
        fault: StoreFault,
    ): Promise<void> {
        const delay = this.appendDelay;
        const pieces: Buffer[] = [];
        for await (const piece of request as AsyncIterable<Buffer>) {
            pieces.push(piece);
        }
        await new Promise(resolve => setTimeout(resolve, delay));
        const answer = this.#checkSequence(topic, query)
            ?? this.#appendSequenced(topic, query, decode(Buffer.concat(pieces)));
        if (fault === "loses-answers") {
            return;
        }
        response.writeHead(answer.status).end(JSON.stringify(answer.body));
    }

    /** Returns the answer to an append that is a repeat or is out of sequence, or undefined when it is to be appended. */
    #checkSequence(topic: string, query: URLSearchParams): AppendAnswer | undefined {
        const known = this.#producers.get(`${topic} ${query.get("producer")}`);
        const epoch = Number(query.get("epoch"));
        const sequence = Number(query.get("seq_no"));
        if (known === undefined || epoch > known.epoch) {
            return undefined;
        }
        if (epoch < known.epoch) {
            return { status: 409, body: { reason: "fenced" } };
        }
        const last = known.answers.at(-1)!.sequence;
        const first = known.answers.slice(-maxRetainedAnswers).find(answer => answer.sequence === sequence);
        if (first !== undefined) {
            return first.answer;
        }
        return sequence === last + 1 ? undefined : { status: 409, body: { reason: "seq", seq_no: last + 1 } };
    }

    #appendSequenced(topic: string, query: URLSearchParams, records: readonly StoredRecord[]): AppendAnswer {
        const offset = this.#getRecords(topic).length;
        this.#append(topic, records);
        const answer = { status: 200, body: { offset, end_offset: offset + records.length } };
        if (query.has("producer")) {
            const key = `${topic} ${query.get("producer")}`;
            const epoch = Number(query.get("epoch"));
            const known = this.#producers.get(key);
            const answers = known?.epoch === epoch ? known.answers : [];
            this.#producers.set(key, {
                epoch,
                answers: [...answers, { sequence: Number(query.get("seq_no")), answer }],
            });
        }
        return answer;
    }
}

function replaceAll<Key, Value>(target: Map<Key, Value>, source: ReadonlyMap<Key, Value>): void {
    target.clear();
    for (const [key, value] of source) {
        target.set(key, value);
    }
}

function encode({ key, value }: StoredRecord): Buffer {
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + key.length + value.length, 0);
    head.writeUInt8(key.length, 4);
    return Buffer.concat([head, Buffer.from(key), value]);
}

function decode(body: Buffer): StoredRecord[] {
    const records: StoredRecord[] = [];
    let position = 0;
    while (position < body.length) {
        const length = body.readUInt32BE(position);
        const keyLength = body.readUInt8(position + 4);
        const keyEnd = position + 5 + keyLength;
        const end = position + 4 + length;
        records.push({ key: body.subarray(position + 5, keyEnd).toString(), value: body.subarray(keyEnd, end) });
        position = end;
    }
    return records;
}
