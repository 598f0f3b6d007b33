// The platform's metadata store as PROTOCOL.md describes it: keyed topics with long polls, and sequenced appends.
import { createServer } from "node:http";

const retainedAnswers = 5;

export class Store {
    #topics = new Map();
    #waiting = new Set();
    #producers = new Map();
    #server = createServer((request, response) => void this.#answer(request, response));

    listen(host, port) {
        this.#server.keepAliveTimeout = 30_000;
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, () => resolve(this.#server.address().port));
        });
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes a record as the operator or a runner does. */
    put(topic, key, value) {
        this.#append(topic, [{ key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)) }]);
    }

    #records(topic) {
        if (!this.#topics.has(topic)) {
            this.#topics.set(topic, []);
        }
        return this.#topics.get(topic);
    }

    #append(topic, records) {
        this.#records(topic).push(...records);
        for (const notify of [...this.#waiting]) {
            notify();
        }
    }

    async #answer(request, response) {
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const pieces = [];
        for await (const piece of request) {
            pieces.push(piece);
        }
        switch (url.pathname) {
            case "/v1/log-newest":
                return this.#answerNewest(topic, response);
            case "/v1/log-read":
                return this.#answerRead(topic, url.searchParams, response);
            case "/v1/log-append":
                return this.#answerAppend(topic, url.searchParams, Buffer.concat(pieces), response);
            default:
                response.writeHead(404).end();
        }
    }

    #answerNewest(topic, response) {
        const newest = new Map();
        for (const [offset, { key, value }] of this.#records(topic).entries()) {
            newest.delete(key);
            if (value.length > 0) {
                newest.set(key, { key, value: value.toString("base64"), offset });
            }
        }
        const body = { entries: [...newest.values()], has_more: false, end_offset: this.#records(topic).length };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    async #answerRead(topic, query, response) {
        const from = Number(query.get("from"));
        if (from > this.#records(topic).length) {
            response.writeHead(410, { "content-type": "application/json" }).end(JSON.stringify({ first_offset: 0 }));
            return;
        }
        await this.#wait(topic, from, Math.min(30_000, Number(query.get("wait_ms") ?? 0)));
        const records = this.#records(topic);
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        response.writeHead(200).end(Buffer.concat([head, ...records.slice(from).map(encode)]));
    }

    #wait(topic, from, milliseconds) {
        return new Promise(resolve => {
            const check = () => this.#records(topic).length > from && finish();
            const finish = () => {
                clearTimeout(timer);
                this.#waiting.delete(check);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            this.#waiting.add(check);
            check();
        });
    }

    #answerAppend(topic, query, body, response) {
        const { status, content } = this.#checkSequence(topic, query) ?? this.#sequence(topic, query, decode(body));
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(content));
    }

    #checkSequence(topic, query) {
        const known = this.#producers.get(`${topic} ${query.get("producer")}`);
        const [epoch, sequence] = [Number(query.get("epoch")), Number(query.get("seq_no"))];
        if (!query.has("producer") || known === undefined || epoch > known.epoch) {
            return undefined;
        }
        if (epoch < known.epoch) {
            return { status: 409, content: { reason: "fenced" } };
        }
        const first = known.answers.slice(-retainedAnswers).find(one => one.sequence === sequence);
        const next = known.answers.at(-1).sequence + 1;
        return first ?? (sequence === next ? undefined : { status: 409, content: { reason: "seq", seq_no: next } });
    }

    #sequence(topic, query, records) {
        const offset = this.#records(topic).length;
        this.#append(topic, records);
        const answer = { status: 200, content: { offset, end_offset: offset + records.length } };
        if (query.has("producer")) {
            const name = `${topic} ${query.get("producer")}`;
            const epoch = Number(query.get("epoch"));
            const known = this.#producers.get(name);
            const answers = known?.epoch === epoch ? known.answers : [];
            this.#producers.set(name, { epoch, answers: [...answers, { ...answer, sequence: Number(query.get("seq_no")) }] });
        }
        return answer;
    }
}

function encode({ key, value }) {
    const name = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + name.length + value.length, 0);
    head.writeUInt8(name.length, 4);
    return Buffer.concat([head, name, value]);
}

function decode(body) {
    const records = [];
    for (let at = 0; at < body.length;) {
        const length = body.readUInt32BE(at);
        const keyEnd = at + 5 + body.readUInt8(at + 4);
        records.push({ key: body.subarray(at + 5, keyEnd).toString(), value: body.subarray(keyEnd, at + 4 + length) });
        at += 4 + length;
    }
    return records;
}
