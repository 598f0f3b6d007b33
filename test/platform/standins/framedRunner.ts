/**
 * A runner that writes the bytes of its answers by hand: with each framing, whole or broken off at a chosen point, in order or by a
 * reset.
 */
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** How the end of an answer is marked. `identity` names a transfer encoding that marks no end. */
export type Framing = "none" | "chunks" | "length" | "identity";

/** What the head of an answer says beside its framing. All but `json` are those of streams; `created` has another status of success. */
export type FramedHead = "typed" | "charset" | "untyped" | "http-1.0" | "created" | "json";

/**
 * Where an answer is broken off. `last-chunk` is inside an event too, but the end of the body is marked as if it were whole.
 */
export type BreakPoint = "between" | "inside" | "last-chunk";

/** One answer to a stream. */
export interface FramedAnswer {
    readonly framing: Framing;
    /** Without it, `typed`. */
    readonly head?: FramedHead;
    /** Whether its head says that the connection closes. */
    readonly closes?: boolean;
    /** Where it is broken off, after the given event or before any if it begins later; undefined if it is whole. */
    readonly broken?: { readonly afterEvent: number; readonly at: BreakPoint; };
    /** How the connection ends; without it, a framed answer leaves it open and another one ends in order. */
    readonly end?: "order" | "reset";
    /** Time after the arrival of the request before anything is written. */
    readonly delayMilliseconds?: number;
    /** Time for which the runner listens no longer after what it has written: it crashes, and its connections end in order. */
    readonly downMilliseconds?: number;
}

/** The answers to one stream, and its events. */
export interface FramedStream {
    readonly events: number;
    readonly eventBytes: number;
    /** Answers to its first run, its second one and so on; the last one is repeated. */
    readonly answers: readonly FramedAnswer[];
}

/** A run as the runner saw it. */
export interface FramedRun {
    readonly stream: string;
    readonly lastEventId: number;
    readonly answer: FramedAnswer;
}

/** Time that the bytes of an answer have to leave before a reset discards them. */
const leaveMilliseconds = 30;
const headEnd = "\r\n\r\n";
/** Last part of the path at which a runner answers whether it is healthy. */
const healthName = "healthz";

/** The streams and the runs of all runners. */
export class FramedRunners {
    readonly runs: FramedRun[] = [];
    readonly #streams = new Map<string, FramedStream>();
    readonly #servers: Server[] = [];
    readonly #sockets = new Map<Server, Set<Socket>>();
    /** Functions that crash the runners that listen, the one that began first at the front. */
    readonly #crashes: ((downMilliseconds: number) => void)[] = [];
    #isClosed = false;

    /** Adds a stream, which is requested by its name as the last part of the path. */
    add(name: string, stream: FramedStream): void {
        this.#streams.set(name, stream);
    }

    /** Returns the runs of a stream. */
    getRuns(name: string): readonly FramedRun[] {
        return this.runs.filter(run => run.stream === name);
    }

    /** Starts a runner. */
    async listen(host: string, port: number): Promise<void> {
        const sockets = new Set<Socket>();
        const server = createServer({ allowHalfOpen: true }, socket => {
            sockets.add(socket);
            socket.on("close", () => sockets.delete(socket));
            this.#serve(socket, answer => this.#crash(server, { host, port, ...answer }));
        });
        this.#servers.push(server);
        this.#sockets.set(server, sockets);
        await new Promise<void>(resolve => server.listen(port, host, resolve));
        this.#crashes.push(milliseconds =>
            this.#crash(server, { framing: "none", downMilliseconds: milliseconds, host, port })
        );
    }

    /** Crashes the runner that has listened for the longest time, and starts it again. */
    crashNext(downMilliseconds: number): void {
        this.#crashes.shift()?.(downMilliseconds);
    }

    #crash(
        server: Server,
        { host, port, downMilliseconds = 0 }: FramedAnswer & { readonly host: string; readonly port: number; },
    ): void {
        server.close();
        for (const socket of this.#sockets.get(server) ?? []) {
            socket.end();
        }
        setTimeout(() => {
            if (!this.#isClosed) {
                void this.listen(host, port);
            }
        }, downMilliseconds);
    }

    /** Stops all runners. Open connections end with their readers. */
    close(): void {
        this.#isClosed = true;
        for (const server of this.#servers) {
            server.close();
        }
    }

    #serve(socket: Socket, crash: (answer: FramedAnswer) => void): void {
        let received = "";
        socket.on("error", () => {
            // The reader closed the connection.
        });
        socket.on("end", () => socket.end());
        socket.on("data", data => {
            received += data.toString();
            const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
            const headLength = received.indexOf(headEnd) + headEnd.length;
            if (headLength < headEnd.length || received.length < headLength + length) {
                return;
            }
            const head = received;
            received = "";
            void this.#answer(socket, head, crash);
        });
    }

    async #answer(socket: Socket, head: string, crash: (answer: FramedAnswer) => void): Promise<void> {
        const name = /^\S+ \S*\/(\S+) /.exec(head)![1];
        if (name === healthName) {
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 0${headEnd}`);
            return;
        }
        const stream = this.#streams.get(name)!;
        const lastEventId = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
        const answer = stream.answers[Math.min(this.getRuns(name).length, stream.answers.length - 1)];
        this.runs.push({ stream: name, lastEventId, answer });
        const pieces = createPieces(stream, answer, lastEventId);
        const attempt = /attempt-id: (\S+)/i.exec(head)![1];
        const written = [createHead(answer, attempt, stream, lastEventId), ...frame(pieces, answer)];
        await sleep(answer.delayMilliseconds ?? 0);
        for (const piece of written) {
            await new Promise(resolve => socket.write(piece, resolve));
        }
        if (answer.downMilliseconds !== undefined) {
            crash(answer);
        }
        else if (answer.end === "reset") {
            await sleep(leaveMilliseconds);
            socket.resetAndDestroy();
        }
        else if (answer.end === "order" || !isFramed(answer)) {
            socket.end();
        }
    }
}

/** Returns whether the end of an answer differs from that of a broken connection. */
export function isFramed({ framing }: FramedAnswer): boolean {
    return framing === "chunks" || framing === "length";
}

/** Returns the bytes of an event. */
export function createFramedEvent(id: number, bytes: number): string {
    return `id: ${id}\ndata: ${"x".repeat(bytes)}\n\n`;
}

function createPieces({ events, eventBytes }: FramedStream, { broken }: FramedAnswer, lastEventId: number): string[] {
    const last = Math.max(lastEventId, broken?.afterEvent ?? events);
    const pieces: string[] = [];
    for (let id = lastEventId + 1; id <= last; id += 1) {
        pieces.push(createFramedEvent(id, eventBytes));
    }
    if (broken !== undefined && broken.at !== "between") {
        pieces.push(`id: ${last + 1}\ndata: cut`);
    }
    return pieces;
}

function createHead(
    { framing, head = "typed", closes = false, broken }: FramedAnswer,
    attempt: string,
    stream: FramedStream,
    lastEventId: number,
): string {
    const whole = createPieces(
        stream,
        { framing, broken: broken?.at === "last-chunk" ? broken : undefined },
        lastEventId,
    );
    const lines = [
        `${head === "http-1.0" ? "HTTP/1.0" : "HTTP/1.1"} ${head === "created" ? "201 Created" : "200 OK"}`,
        `Attempt-Id: ${attempt}`,
        "Server-Seal: 3e1b.07",
        ...createTypeLines(head),
        ...framing === "chunks" ? ["Transfer-Encoding: chunked"] : [],
        ...framing === "identity" ? ["Transfer-Encoding: identity"] : [],
        ...framing === "length" ? [`Content-Length: ${whole.join("").length}`] : [],
        ...closes ? ["Connection: close"] : [],
    ];
    return lines.join("\r\n") + headEnd;
}

function createTypeLines(head: FramedHead): readonly string[] {
    switch (head) {
        case "untyped":
            return [];
        case "charset":
            return ["Content-Type: Text/Event-Stream; charset=utf-8"];
        case "json":
            return ["Content-Type: application/json"];
        default:
            return ["Content-Type: text/event-stream"];
    }
}

function frame(pieces: readonly string[], { framing, broken }: FramedAnswer): readonly string[] {
    if (framing !== "chunks") {
        return pieces;
    }
    const chunks = pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`);
    const isMarkedWhole = broken === undefined || broken.at === "last-chunk";
    return isMarkedWhole ? [...chunks, "0\r\n\r\n"] : chunks;
}
