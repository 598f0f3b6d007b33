/**
 * Serves callers over HTTP: decodes their requests, and writes answers back unchanged.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Server as ListeningServer } from "node:net";
import type { Clock, Refusal } from "../common/index.js";
import { Failure } from "../common/index.js";
import type { CallerReply, CallerRequest, Generation, PromptPart } from "../forwarding/index.js";
import type { CallerLimits } from "../routing/index.js";
import { findHeader, findNumber, pickRequestHeaders } from "./headers.js";
import type { Endpoint } from "./nodeSettings.js";
import { anyModel, headerNames } from "./wire.js";

/** Limits until the first configuration has been read. */
const firstLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4 * 1024 * 1024,
    headerMilliseconds: 3_000,
    idleMilliseconds: 15_000,
};
/** A connection is kept a little longer than callers use it again, so that none of their requests crosses its close. */
const idleSlackMilliseconds = 1_000;
/** Headers are bounded here by what the program can take; the configured bound is checked for each request. */
const mostHeaderBytes = 64 * 1024;

/** Takes a decoded request. */
export type HandleRequest = (request: CallerRequest, reply: CallerReply) => Promise<void>;

/** Options of the face. */
export interface CallerFaceOptions {
    readonly clock: Clock;
    readonly handle: HandleRequest;
    /** Returns the limits in force, or undefined before there are any. */
    readonly getLimits: () => CallerLimits | undefined;
    /** Tells of a request whose handling threw: a programming mistake. */
    readonly onCrash: (requestId: string, error: unknown) => void;
}

/** Serves callers. */
export class CallerFace {
    readonly #options: CallerFaceOptions;
    readonly #server: Server;
    #isLeaving = false;

    constructor(options: CallerFaceOptions) {
        this.#options = options;
        this.#server = createServer({ maxHeaderSize: mostHeaderBytes }, (request, response) => {
            void this.#serve(request, response);
        });
        this.#server.requestTimeout = 0;
        this.applyLimits();
    }

    /**
     * Begins to listen.
     * @param where - An address, or a server that listens already and whose connections are taken over.
     */
    listen(where: Endpoint | ListeningServer): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(where, resolve);
        });
    }

    /** Takes over the limits of a new configuration. */
    applyLimits(): void {
        const { headerMilliseconds, idleMilliseconds } = this.#getLimits();
        this.#server.headersTimeout = headerMilliseconds;
        this.#server.keepAliveTimeout = idleMilliseconds + idleSlackMilliseconds;
    }

    /** Closes each connection after the answer under way from now on; new connections are still served. */
    announceLeaving(): void {
        this.#isLeaving = true;
        this.#server.closeIdleConnections();
    }

    /** Stops listening and closes what is left. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #getLimits(): CallerLimits {
        return this.#options.getLimits() ?? firstLimits;
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const arrivedAt = this.#options.clock.monotonic();
        const reply = new HttpReply(incoming, response, () => this.#isLeaving);
        const limits = this.#getLimits();
        const id = findHeader(incoming.rawHeaders, headerNames.requestId) ?? "";
        if (countBytes(incoming.rawHeaders) > limits.headerBytes) {
            reply.refuseUnread(createTooLarge("headers", limits.headerBytes), 431);
            return;
        }
        const body = await readBody(incoming, limits.bodyBytes);
        if (body === "too-large") {
            reply.refuseUnread(createTooLarge("body", limits.bodyBytes), 413);
            return;
        }
        if (body === "gone") {
            reply.abort();
            return;
        }
        try {
            const decoded = decodeRequest(incoming, body, arrivedAt);
            await (typeof decoded === "string"
                ? reply.refuse(createMalformed(decoded))
                : this.#options.handle(decoded, reply));
        }
        catch (error) {
            this.#options.onCrash(id, error);
            reply.abort();
        }
    }
}

/** Reads a request's headers; returns what is wrong with them if they can't be read. */
function decodeRequest(incoming: IncomingMessage, body: Buffer, arrivedAt: number): CallerRequest | string {
    const raw = incoming.rawHeaders;
    const id = findHeader(raw, headerNames.requestId);
    if (id === undefined || id === "") {
        return `The header ${headerNames.requestId} is missing.`;
    }
    const deadlineMilliseconds = findNumber(raw, headerNames.deadline);
    if (deadlineMilliseconds === undefined && findHeader(raw, headerNames.deadline) !== undefined) {
        return `The header ${headerNames.deadline} is no number of milliseconds.`;
    }
    return {
        id,
        method: incoming.method ?? "GET",
        host: findHeader(raw, "host") ?? "",
        target: incoming.url ?? "/",
        headers: pickRequestHeaders(raw),
        body,
        deadlineMilliseconds,
        apiKey: findHeader(raw, headerNames.apiKey),
        session: findHeader(raw, headerNames.session),
        generation: decodeGeneration(raw),
        lastEventId: findHeader(raw, headerNames.lastEventId),
        arrivedAt,
    };
}

/** Reads what a generation asks for. Parts that can't be read only cost affinity, so they are passed over. */
function decodeGeneration(raw: readonly string[]): Generation | undefined {
    const model = findHeader(raw, headerNames.model);
    const tokens = findHeader(raw, headerNames.tokens);
    if (model === undefined && tokens === undefined) {
        return undefined;
    }
    const [promptTokens, mostOutputTokens] = (tokens ?? "").split(",").map(Number);
    return {
        model: model === anyModel ? undefined : model,
        promptTokens: Number.isFinite(promptTokens) ? promptTokens : 0,
        mostOutputTokens: Number.isFinite(mostOutputTokens) ? mostOutputTokens : 0,
        expectedOutputTokens: findNumber(raw, headerNames.lengthHint),
        parts: decodeParts(findHeader(raw, headerNames.promptParts) ?? ""),
    };
}

function decodeParts(text: string): readonly PromptPart[] {
    const parts: PromptPart[] = [];
    for (const entry of text.split(",")) {
        const [id, tokens] = entry.trim().split(":");
        if (id !== "" && Number.isFinite(Number(tokens))) {
            parts.push({ id, tokens: Number(tokens) });
        }
    }
    return parts;
}

function countBytes(raw: readonly string[]): number {
    let bytes = 0;
    for (const text of raw) {
        // Each name is followed by a colon and a blank, each value by a line end.
        bytes += text.length + 2;
    }
    return bytes;
}

async function readBody(incoming: IncomingMessage, limit: number): Promise<Buffer | "too-large" | "gone"> {
    if (Number(incoming.headers["content-length"] ?? 0) > limit) {
        return "too-large";
    }
    const pieces: Buffer[] = [];
    let size = 0;
    try {
        for await (const piece of incoming as AsyncIterable<Buffer>) {
            size += piece.length;
            if (size > limit) {
                return "too-large";
            }
            pieces.push(piece);
        }
    }
    catch {
        // The caller left in the middle of its request; there is nobody to answer.
        return "gone";
    }
    return pieces.length === 1 ? pieces[0] : Buffer.concat(pieces);
}

/** Writes to one caller. */
class HttpReply implements CallerReply {
    readonly #response: ServerResponse;
    readonly #isLeaving: () => boolean;
    readonly #gone = new AbortController();
    #requestId: string | undefined;

    constructor(incoming: IncomingMessage, response: ServerResponse, isLeaving: () => boolean) {
        this.#response = response;
        this.#isLeaving = isLeaving;
        this.#requestId = findHeader(incoming.rawHeaders, headerNames.requestId);
        // Answers carry the date only where the upstream sent one.
        response.sendDate = false;
        const leave = (): void => {
            if (!response.writableFinished) {
                this.#gone.abort();
            }
        };
        response.once("close", leave);
        incoming.socket.once("end", leave);
        response.once("close", () => incoming.socket.removeListener("end", leave));
    }

    get hasBegun(): boolean {
        return this.#response.headersSent;
    }

    get gone(): AbortSignal {
        return this.#gone.signal;
    }

    begin(status: number, headers: readonly string[], options = { hasKnownEnd: true }): void {
        if (!options.hasKnownEnd) {
            // Neither a length nor chunks: the answer ends with its connection, as it did at the upstream.
            this.#response.useChunkedEncodingByDefault = false;
            this.#response.shouldKeepAlive = false;
        }
        this.#response.writeHead(status, this.#complete(headers));
        this.#response.flushHeaders();
    }

    write(piece: Buffer): Promise<void> {
        if (this.#response.write(piece) || this.#gone.signal.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const done = (): void => {
                this.#response.removeListener("drain", done);
                this.#gone.signal.removeEventListener("abort", done);
                resolve();
            };
            this.#response.once("drain", done);
            this.#gone.signal.addEventListener("abort", done);
        });
    }

    end(): void {
        this.#response.end();
    }

    answer(status: number, headers: readonly string[], body: Buffer): void {
        const length = body.length === 0 && (status === 204 || status === 304)
            ? []
            : ["Content-Length", String(body.length)];
        this.#response.writeHead(status, [...this.#complete(headers), ...length]);
        this.#response.end(body);
    }

    refuse(refusal: Refusal): void {
        this.#refuse(refusal, getStatus(refusal), []);
    }

    /** Refuses a request whose body was not read; what is left of it must not be taken for the next request. */
    refuseUnread(refusal: Refusal, status: number): void {
        this.#refuse(refusal, status, ["Connection", "close"]);
    }

    abort(): void {
        this.#response.socket?.destroy();
    }

    #refuse({ failure, outcome }: Refusal, status: number, extra: readonly string[]): void {
        if (this.#gone.signal.aborted || this.#response.headersSent) {
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

    #complete(headers: readonly string[]): string[] {
        return this.#isLeaving() ? [...headers, "Connection", "close"] : [...headers];
    }
}

/**
 * Returns the status of a refusal. 429 and 503 promise that the request has not run; where that is not known, the status must
 * not promise it, or the caller repeats a booking that may have been made.
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

function createTooLarge(what: string, bytes: number): Refusal {
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: "too-large",
            message: `The request's ${what} are above the limit of ${bytes} bytes.`,
            remedy: "Send less, or have the limit raised.",
        }),
    };
}

function createMalformed(message: string): Refusal {
    return {
        outcome: "not-run",
        failure: new Failure({ kind: "invalid-input", message, remedy: "Mend the header and send the request again." }),
    };
}
