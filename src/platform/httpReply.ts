/**
 * Writes answers to callers over HTTP.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "../common/index.js";
import type { CallerReply } from "../forwarding/index.js";
import { findHeader } from "./headers.js";
import { headerNames } from "./wire.js";

/** Writes an answer to one caller. */
export class HttpReply implements CallerReply {
    readonly #response: ServerResponse;
    readonly #isLeaving: () => boolean;
    readonly #disconnection = new AbortController();
    #requestId: string | undefined;

    /**
     * @param incoming - The caller's request.
     * @param response - The response to write to.
     * @param isLeaving - Returns whether the node is stopping; connections then close after their answers.
     */
    constructor(incoming: IncomingMessage, response: ServerResponse, isLeaving: () => boolean) {
        this.#response = response;
        this.#isLeaving = isLeaving;
        this.#requestId = findHeader(incoming.rawHeaders, headerNames.requestId);
        // The date is forwarded from the upstream's answer, if it has one.
        response.sendDate = false;
        const abortOnDisconnect = (): void => {
            if (!response.writableFinished) {
                this.#disconnection.abort();
            }
        };
        response.once("close", abortOnDisconnect);
        incoming.socket.once("end", abortOnDisconnect);
        response.once("close", () => incoming.socket.removeListener("end", abortOnDisconnect));
    }

    get hasStarted(): boolean {
        return this.#response.headersSent;
    }

    get disconnected(): AbortSignal {
        return this.#disconnection.signal;
    }

    start(status: number, headers: readonly string[], options = { hasKnownEnd: true }): void {
        if (!options.hasKnownEnd) {
            // Neither a length nor chunked encoding: the answer ends with its connection, as it did at the upstream.
            this.#response.useChunkedEncodingByDefault = false;
            this.#response.shouldKeepAlive = false;
        }
        this.#response.writeHead(status, this.#addConnectionHeader(headers));
        this.#response.flushHeaders();
    }

    write(piece: Buffer): Promise<void> {
        if (this.#response.write(piece) || this.#disconnection.signal.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = (): void => {
                this.#response.removeListener("drain", finish);
                this.#disconnection.signal.removeEventListener("abort", finish);
                resolve();
            };
            this.#response.once("drain", finish);
            this.#disconnection.signal.addEventListener("abort", finish);
        });
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

    abort(): void {
        this.#response.socket?.destroy();
    }

    #refuse({ failure, outcome }: Refusal, status: number, extra: readonly string[]): void {
        if (this.#disconnection.signal.aborted || this.#response.headersSent) {
            this.abort();
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
