/**
 * Writes answers to callers over HTTP.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type PresenceCheck, type Refusal, watchConnection } from "../common/index.js";
import type { CallerReply, ReplyBound, ReplyBuffer, ReplyBuffers, ReplyEnd } from "../forwarding/index.js";
import { findHeader } from "./headers.js";
import { headerNames } from "./wire.js";

/**
 * How long a reply may hold more than its bound while nothing leaves the process before its caller counts as one that does not read. An
 * upstream cuts off an answer that stays unread for some seconds.
 */
const maxFullMilliseconds = 2_000;
/**
 * Bytes that have reached a caller although it reads nothing. A reset discards what has not, which can leave a broken-off answer that ends
 * between two events.
 */
const arrivedBytes = 16 * 1024;

/** Called with a request whose caller was given up, the bound that was exceeded, and the bytes that were held. */
export type DroppedCallerListener = (request: string, bound: ReplyBound, heldBytes: number) => void;

/** An answer whose connection was closed before it was complete. */
export interface BrokenReply {
    readonly request: string;
    readonly reason: string;
    /** Bytes of the answer that were written to the connection, with its head. */
    readonly writtenBytes: number;
}

/** Called when this node closes the connection of an answer that is not complete. */
export type BrokenReplyListener = (reply: BrokenReply) => void;

/** Options of `HttpReply`. */
export interface HttpReplyOptions {
    /** The caller's request. */
    readonly incoming: IncomingMessage;
    /** The response to write to. */
    readonly response: ServerResponse;
    /** Returns whether the node is stopping; connections then close after their answers. */
    readonly isLeaving: () => boolean;
    readonly buffers: ReplyBuffers;
    readonly presence: PresenceCheck;
    readonly onDropped: DroppedCallerListener;
    readonly onBroken: BrokenReplyListener;
    /** Called when the answer is written or its connection is closed. May be called again. */
    readonly onClosed?: () => void;
}

/** A socket with its handle, which alone knows how much of a running write has not left. */
interface SocketWithHandle {
    readonly _handle?: { readonly writeQueueSize?: number; } | null;
}

/** Writes an answer to one caller. */
export class HttpReply implements CallerReply {
    readonly #connection: Socket & SocketWithHandle;
    readonly #response: ServerResponse;
    readonly #isLeaving: () => boolean;
    readonly #buffer: ReplyBuffer;
    readonly #presence: PresenceCheck;
    readonly #disconnection = new AbortController();
    readonly #onBroken: BrokenReplyListener;
    /** Bytes that the connection had written before this answer. */
    readonly #bytesBefore: number;
    #requestId: string | undefined;
    /** Whether the caller reads chunks. One of HTTP/1.0 does not: its answers that follow in pieces end with their connections. */
    readonly #readsChunks: boolean;
    #end: ReplyEnd = { hasStatedEnd: true };
    /** Lets the writer go on that waits for its caller. */
    #wakeWriter: (() => void) | undefined;

    constructor(
        { incoming, response, isLeaving, buffers, presence, onDropped, onBroken, onClosed }: HttpReplyOptions,
    ) {
        this.#connection = incoming.socket;
        this.#bytesBefore = this.#connection.bytesWritten;
        this.#onBroken = onBroken;
        this.#response = response;
        this.#readsChunks = incoming.httpVersion !== "1.0";
        this.#isLeaving = isLeaving;
        this.#presence = presence;
        this.#requestId = findHeader(incoming.rawHeaders, headerNames.requestId);
        this.#buffer = buffers.add((bound, heldBytes) => {
            this.#reset();
            onDropped(this.#requestId ?? "", bound, heldBytes);
        });
        // The date is forwarded from the upstream's answer, if it has one.
        response.sendDate = false;
        watchConnection({
            incoming,
            response,
            onDisconnected: () => this.#disconnect(),
            onClosed: () => {
                this.#buffer.close();
                onClosed?.();
            },
        });
    }

    get hasStarted(): boolean {
        return this.#response.headersSent;
    }

    get hasStatedEnd(): boolean {
        return this.#end.hasStatedEnd;
    }

    get disconnected(): AbortSignal {
        return this.#disconnection.signal;
    }

    confirmCaller(): Promise<void> | undefined {
        return this.#presence.confirm();
    }

    start(status: number, headers: readonly string[], end: ReplyEnd = { hasStatedEnd: true }): void {
        this.#end = end;
        // The library frames it in chunks for every caller that reads them.
        this.#response.writeHead(status, this.#addConnectionHeader(headers));
        this.#response.flushHeaders();
    }

    write(piece: Buffer): Promise<void> {
        if (this.#disconnection.signal.aborted) {
            return Promise.resolve();
        }
        this.#buffer.add(piece.length);
        this.#response.write(piece, () => {
            this.#buffer.release(piece.length);
            if (!this.#buffer.isFull()) {
                this.#wakeWriter?.();
            }
        });
        return this.#buffer.isFull() ? this.#waitForRoom() : Promise.resolve();
    }

    end(): void {
        this.#response.end();
    }

    answer(status: number, headers: readonly string[], body: Buffer): void {
        const length = body.length === 0 && (status === 204 || status === 304)
            ? []
            : ["Content-Length", String(body.length)];
        this.#response.writeHead(status, [...this.#addConnectionHeader(headers), ...length]);
        this.#response.end(body);
        this.#buffer.add(body.length);
    }

    refuse(refusal: Refusal): void {
        this.#refuse(refusal, getStatus(refusal), []);
    }

    /**
     * Refuses a request whose body was not read. Closes the connection, because the rest of the body would otherwise be parsed as
     * the next request.
     */
    refuseUnread(refusal: Refusal, status: number): void {
        this.#refuse(refusal, status, ["Connection", "close"]);
    }

    abort(reason: string): void {
        const isPresent = !this.#disconnection.signal.aborted;
        const writtenBytes = this.#connection.bytesWritten - this.#bytesBefore;
        if (isPresent && !this.#response.writableFinished) {
            this.#onBroken({ request: this.#requestId ?? "", reason, writtenBytes });
        }
        const { incompleteEnd } = this.#end;
        if (this.#readsChunks) {
            this.#closeConnection(connection => connection.destroy());
        }
        else if (incompleteEnd !== undefined && isPresent) {
            this.#endIncomplete(incompleteEnd, writtenBytes);
        }
        else {
            // Without chunks, the answer ends with its connection. Closed in order, a truncated one would look complete.
            this.#reset();
        }
    }

    /** Ends the answer with bytes that tell that it is incomplete, also to a caller that reads a reset as an orderly end. */
    #endIncomplete(bytes: Buffer, writtenBytes: number): void {
        const timer = setTimeout(() => this.#reset(), maxFullMilliseconds);
        this.#response.write(bytes, () => {
            clearTimeout(timer);
            if (writtenBytes <= arrivedBytes) {
                this.#reset();
            }
            else {
                this.#response.end();
            }
        });
        this.#disconnect();
    }

    /** Resets the connection, which also frees what the kernel holds for it. */
    #reset(): void {
        this.#closeConnection(connection => connection.resetAndDestroy());
        this.#disconnect();
    }

    /**
     * Closes the connection unless the answer is complete. If the answer waits for another one on the connection, closes it in order
     * after that one, which a reset could cut; nothing of this answer has been sent then.
     */
    #closeConnection(close: (connection: Socket) => void): void {
        const connection = this.#response.socket ?? undefined;
        if (connection !== undefined) {
            close(connection);
        }
        else if (!this.#response.writableFinished) {
            this.#response.once("socket", (connection: Socket) => connection.destroy());
        }
    }

    #disconnect(): void {
        this.#disconnection.abort();
        this.#wakeWriter?.();
    }

    /** Waits until the caller has read enough, and gives the reply up if nothing leaves the process for too long. */
    #waitForRoom(): Promise<void> {
        return new Promise(resolve => {
            let unsent = this.#getUnsent();
            // After a pause of the process, the timer expires before the event loop has seen what the caller has read meanwhile.
            const timer = setInterval(() =>
                setImmediate(() => {
                    const before = unsent;
                    unsent = this.#getUnsent();
                    if (this.#wakeWriter !== undefined && unsent === before) {
                        this.#buffer.giveUp();
                    }
                }), maxFullMilliseconds);
            this.#wakeWriter = () => {
                clearInterval(timer);
                this.#wakeWriter = undefined;
                resolve();
            };
        });
    }

    /**
     * Returns a text that changes whenever a part of the answer leaves the process. The callbacks of pieces do not suffice: pieces that
     * are sent as one write end together.
     */
    #getUnsent(): string {
        return `${this.#connection.writableLength} ${this.#connection._handle?.writeQueueSize}`;
    }

    #refuse({ failure, outcome }: Refusal, status: number, extra: readonly string[]): void {
        if (this.#disconnection.signal.aborted || this.#response.headersSent) {
            this.abort(`refused after the answer had begun: ${failure.kind}`);
            return;
        }
        const body = Buffer.from(JSON.stringify({ error: failure.kind, outcome, detail: failure.message }));
        const headers = ["Content-Type", "application/json", ...extra];
        if (this.#requestId !== undefined) {
            headers.push(headerNames.requestId, this.#requestId);
        }
        if (failure.retryAfterMilliseconds !== undefined) {
            headers.push(headerNames.retryAfter, (failure.retryAfterMilliseconds / 1_000).toFixed(3));
        }
        this.answer(status, headers, body);
    }

    #addConnectionHeader(headers: readonly string[]): string[] {
        return this.#isLeaving() ? [...headers, "Connection", "close"] : [...headers];
    }
}

/**
 * Returns the HTTP status of a refusal. 429 and 503 promise that the request has not run. They must not be used where that is
 * unknown, because the caller would then retry and could repeat a booking.
 */
function getStatus({ failure, outcome }: Refusal): number {
    switch (failure.kind) {
        case "not-found":
            return 404;
        case "unauthorized":
            return 401;
        case "invalid-input":
            return 400;
        case "too-large":
            return 413;
        case "deadline":
            return 504;
        default:
            return outcome === "not-run" ? 503 : 502;
    }
}
