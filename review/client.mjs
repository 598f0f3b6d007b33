// A client that keeps one connection for many requests, as PROTOCOL.md describes clients, and tells how each request ended.
import { connect } from "node:net";

export class Client {
    #socket;
    #buffer = Buffer.alloc(0);
    #onEvent = () => {};
    /** Requests that were answered on the present connection. */
    kept = 0;

    constructor(node) {
        this.node = node;
    }

    close() {
        this.#socket?.destroy();
        this.#socket = undefined;
    }

    /** Sends one request; resolves with { status, body } or { closed: reason } when the connection ends without a whole answer. */
    async send({ method, path, headers, body = Buffer.alloc(0), patience }) {
        if (this.#socket === undefined || this.#socket.destroyed || this.#socket.readableEnded) {
            const error = await this.#connect();
            if (error !== undefined) {
                return { closed: error, unsent: true };
            }
        }
        const socket = this.#socket;
        const wasKept = this.kept > 0;
        const names = { Host: "app.example", "Content-Length": body.length, ...headers };
        const head = Object.entries(names).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const answer = await new Promise(done => {
            const timer = setTimeout(() => done({ closed: "gave up" }), patience);
            this.#onEvent = reason => {
                const read = reason === undefined ? this.#read() : { closed: reason };
                if (read !== undefined) {
                    clearTimeout(timer);
                    done(read);
                }
            };
            socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n`);
            socket.write(body);
        });
        this.#onEvent = () => {};
        if (answer.closed !== undefined || answer.closes) {
            this.close();
        }
        else {
            this.kept += 1;
        }
        return { ...answer, wasKept };
    }

    #connect() {
        this.kept = 0;
        this.#buffer = Buffer.alloc(0);
        return new Promise(done => {
            const socket = connect(this.node.ports.front, this.node.ip);
            socket.setTimeout(1_000, () => socket.connecting && socket.destroy(new Error("no connection")));
            socket.once("connect", () => done(undefined));
            socket.on("error", error => {
                done(error.code ?? error.message);
                this.#onEvent(error.code ?? error.message);
            });
            socket.on("data", data => {
                this.#buffer = Buffer.concat([this.#buffer, data]);
                this.#onEvent();
            });
            socket.on("end", () => this.#onEvent("closed"));
            socket.on("close", () => this.#onEvent("closed"));
            this.#socket = socket;
        });
    }

    /** Reads an answer with a length; the stand-in runners send no other. */
    #read() {
        const end = this.#buffer.indexOf("\r\n\r\n");
        if (end < 0) {
            return undefined;
        }
        const head = this.#buffer.subarray(0, end).toString("latin1");
        const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
        if (this.#buffer.length < end + 4 + length) {
            return undefined;
        }
        const body = this.#buffer.subarray(end + 4, end + 4 + length).toString();
        this.#buffer = this.#buffer.subarray(end + 4 + length);
        return {
            status: Number(head.slice(9, 12)),
            body,
            sealed: /^server-seal:/im.test(head),
            closes: /^connection: *close/im.test(head),
        };
    }
}
