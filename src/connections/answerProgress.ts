/**
 * Closes connections on which bytes arrive without an end that belong to no head and no body.
 *
 * The HTTP library bounds each head and the trailers by itself. It passes over blank lines before a head, heads before the final one, the
 * text of a status, and the lengths and extensions of chunks without a bound.
 */
import { subscribe } from "node:diagnostics_channel";
import { maxHeaderSize } from "node:http";
import type { Socket } from "node:net";
import { errors } from "undici";

/** Bytes that may arrive without a final head or a part of a body: a few of the largest heads. */
const maxBytesWithoutProgress = 4 * maxHeaderSize;
/** Statuses from here on are those of final heads. */
const minFinalStatus = 200;

/** The HTTP library's object for a request. Its messages are matched by it. */
type RequestObject = object;

/** The connections that are watched, and those on which watched requests were sent. */
const bySocket = new WeakMap<Socket, AnswerProgress>();
const byRequest = new WeakMap<RequestObject, AnswerProgress>();
let hasSubscribed = false;

/** Called with the number of bytes that arrived without an end when a connection is closed for them. */
export type EndlessBytesListener = (bytes: number) => void;

/** Watches the progress of the answers on one connection. */
export class AnswerProgress {
    readonly #socket: Socket;
    /** Bytes that the library had taken when an answer last progressed. */
    #bytesAtProgress = 0;
    #isChecked = false;

    private constructor(socket: Socket) {
        this.#socket = socket;
    }

    /**
     * Watches a connection of the HTTP library.
     * @param socket - The connection, before the library has it.
     * @param onEndless - Called when the connection is closed because of this bound, or of the library's for heads and trailers.
     */
    static watch(socket: Socket, onEndless: EndlessBytesListener): void {
        subscribeOnce();
        const progress = new AnswerProgress(socket);
        bySocket.set(socket, progress);
        socket.on("error", cause => {
            if (cause instanceof errors.HeadersOverflowError) {
                onEndless(progress.#getBytesWithoutProgress());
            }
        });
    }

    /** Records that a request is sent. */
    markSent(): void {
        this.mark();
        if (!this.#isChecked) {
            this.#isChecked = true;
            // The library's own listener, which parses what has arrived, was added before.
            this.#socket.on("readable", () => this.#check());
        }
    }

    /** Records that a final head, a part of a body, or the end of an answer has arrived. */
    mark(): void {
        this.#bytesAtProgress = this.#getTakenBytes();
    }

    #check(): void {
        if (this.#getBytesWithoutProgress() > maxBytesWithoutProgress) {
            this.#socket.destroy(new errors.HeadersOverflowError("bytes without an end that are no answer"));
        }
    }

    #getBytesWithoutProgress(): number {
        return this.#getTakenBytes() - this.#bytesAtProgress;
    }

    /** Returns the bytes that the library has taken. It leaves others while the answer is not read. */
    #getTakenBytes(): number {
        return this.#socket.bytesRead - this.#socket.readableLength;
    }
}

/** Returns whether a call failed since the bytes of its answer had no end. This node closed the connection, so the upstream did not. */
export function isEndless(error: unknown): boolean {
    return error instanceof errors.HeadersOverflowError;
}

/** Receives what the HTTP library reports of its connections. */
function subscribeOnce(): void {
    if (hasSubscribed) {
        return;
    }
    hasSubscribed = true;
    subscribe("undici:client:sendHeaders", message => {
        const { request, socket } = message as { readonly request: RequestObject; readonly socket: Socket; };
        const progress = bySocket.get(socket);
        if (progress !== undefined) {
            byRequest.set(request, progress);
            progress.markSent();
        }
    });
    subscribe("undici:request:headers", message => {
        const { request, response } = message as {
            readonly request: RequestObject;
            readonly response: { readonly statusCode: number; };
        };
        if (response.statusCode >= minFinalStatus) {
            byRequest.get(request)?.mark();
        }
    });
    for (const channel of ["undici:request:bodyChunkReceived", "undici:request:trailers"]) {
        subscribe(channel, message => {
            const { request } = message as { readonly request: RequestObject; };
            byRequest.get(request)?.mark();
        });
    }
}
