/**
 * Serves callers over HTTP: decodes their requests and writes answers back unchanged.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Server as ListeningServer } from "node:net";
import {
    type Clock,
    Failure,
    PresenceCheck,
    type ReadProgress,
    type Refusal,
    type StallWatch,
} from "../common/index.js";
import { type BodyMemory, limitPipelining, readBody, TurnQueue } from "../connections/index.js";
import type { CallerReply, CallerRequest, ReplyBuffers } from "../forwarding/index.js";
import type { CallerLimits } from "../routing/index.js";
import { ConnectionErrors } from "./connectionErrors.js";
import { countHeaderBytes, decodeRequest } from "./decodeRequest.js";
import { findHeader, findNumber } from "./headers.js";
import { type BrokenReplyListener, type DroppedCallerListener, HttpReply } from "./httpReply.js";
import { IdleConnections } from "./idleConnections.js";
import type { Endpoint } from "./nodeSettings.js";
import { headerNames } from "./wire.js";

/** Limits until the first configuration is in force. */
const initialLimits: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4 * 1024 * 1024,
    headerMilliseconds: 3_000,
    idleMilliseconds: 15_000,
};
/** Idle connections stay open a little longer than callers reuse them, so that no request arrives while its connection closes. */
const idleMarginMilliseconds = 1_000;
/** How long a request may wait for memory before it is read, and the share of its time. Callers give up one that is not read after these. */
const maxUnreadMilliseconds = 800;
const maxUnreadShare = 0.25;
/** How long a caller that states no deadline may take to send a body for which memory is reserved. */
const defaultMaxBodyMilliseconds = 30_000;
/** Slow upstreams take some seconds to read a large body, so there is room for a few others by then. */
const memoryRetryAfterMilliseconds = 1_000;
/** Hard limit of the HTTP parser. The configured limit is checked for each request. */
const maxHeaderBytes = 64 * 1024;
/** Requests of a connection that may wait for their answers. Clients of HTTP libraries send one at a time. */
const maxPipelinedRequests = 32;

/** Handles a decoded request. */
export type HandleRequest = (request: CallerRequest, reply: CallerReply) => Promise<void>;

/** Options of `CallerServer`. */
export interface CallerServerOptions {
    readonly clock: Clock;
    readonly readProgress: ReadProgress;
    readonly stallWatch: StallWatch;
    readonly handle: HandleRequest;
    /** Returns the limits in force, or undefined before there are any. */
    readonly getLimits: () => CallerLimits | undefined;
    /** Reports a request whose handler threw, which is a programming error. */
    readonly onCrash: (requestId: string, error: unknown) => void;
    readonly replyBuffers: ReplyBuffers;
    readonly bodyMemory: BodyMemory;
    /** Reports a request that was refused unread, since the bodies of others took the memory. */
    readonly onNoMemory: (requestId: string) => void;
    /** Reports a request whose caller had left before anything was done for it. */
    readonly onDeparted: (requestId: string) => void;
    /** Reports a request whose caller was given up because it reads too slowly. */
    readonly onDropped: DroppedCallerListener;
    /** Reports a request whose connection this node closes before its answer is complete. */
    readonly onBroken: BrokenReplyListener;
}

/** Serves callers. */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #server: Server;
    readonly #connectionErrors = new ConnectionErrors();
    readonly #idleConnections: IdleConnections;
    /** Replies that are not complete. */
    readonly #replies = new Set<HttpReply>();
    readonly #bodyTurns = new TurnQueue();
    #isLeaving = false;

    constructor(options: CallerServerOptions) {
        this.#options = options;
        const { clock, readProgress } = options;
        this.#idleConnections = new IdleConnections({
            clock,
            readProgress,
            getLimit: () => this.#getLimits().idleMilliseconds + idleMarginMilliseconds,
        });
        const serve = limitPipelining(maxPipelinedRequests, (request, response) => {
            void this.#serve(request, response);
        });
        this.#server = createServer({ maxHeaderSize: maxHeaderBytes }, serve);
        this.#server.on("clientError", (error, connection) => this.#connectionErrors.handle(error, connection));
        this.#server.on("timeout", connection => void this.#idleConnections.handleTimeout(connection));
        this.#server.on("connection", () => readProgress.addConnection());
        this.#server.requestTimeout = 0;
        this.applyLimits();
    }

    /**
     * Starts to listen.
     * @param target - An address, or a server that already listens and whose connections this server accepts.
     */
    listen(target: Endpoint | ListeningServer): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(target, resolve);
        });
    }

    /** Applies the limits of a new configuration. */
    applyLimits(): void {
        const { headerMilliseconds, idleMilliseconds } = this.#getLimits();
        this.#server.headersTimeout = headerMilliseconds;
        this.#server.keepAliveTimeout = idleMilliseconds + idleMarginMilliseconds;
    }

    /** Returns the number of requests whose answers are not written completely, from the arrival of their headers on. */
    countOpen(): number {
        return this.#replies.size;
    }

    /** Closes each connection after its current answer from now on, and idle ones at once. New connections are still served. */
    announceLeaving(): void {
        this.#isLeaving = true;
        // A connection on which a request waits unread looks idle.
        void this.#options.readProgress.readArrived().then(() => this.#server.closeIdleConnections());
    }

    /** Stops listening and closes all remaining connections. */
    close(): void {
        this.#server.close();
        for (const reply of this.#replies) {
            reply.abort("the node stops");
        }
        this.#server.closeAllConnections();
    }

    #getLimits(): CallerLimits {
        return this.#options.getLimits() ?? initialLimits;
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const arrivedAt = this.#options.clock.monotonic();
        const sentAt = this.#options.stallWatch.getEarliestArrival();
        response.once("close", this.#connectionErrors.add(incoming));
        // A request that was given up may have lost its connection by then.
        const connection = incoming.socket;
        response.once("finish", () => this.#idleConnections.add(connection));
        const { replyBuffers: buffers, onDropped, onBroken } = this.#options;
        const presence = new PresenceCheck(this.#options.readProgress);
        const reply = new HttpReply({
            incoming,
            response,
            isLeaving: () => this.#isLeaving,
            buffers,
            presence,
            onDropped,
            onBroken,
            onClosed: () => this.#replies.delete(reply),
        });
        this.#replies.add(reply);
        const limits = this.#getLimits();
        const id = findHeader(incoming.rawHeaders, headerNames.requestId) ?? "";
        if (countHeaderBytes(incoming.rawHeaders) > limits.headerBytes) {
            reply.refuseUnread(createTooLargeRefusal("headers", limits.headerBytes), 431);
            return;
        }
        const memory = this.#options.bodyMemory.add(() => connection.destroy());
        try {
            const wait = { maxMilliseconds: getMaxUnreadMilliseconds(incoming), disconnected: reply.disconnected };
            const body = await readBody(incoming, {
                limit: limits.bodyBytes,
                maxMilliseconds: getDeadline(incoming) ?? defaultMaxBodyMilliseconds,
                memory,
                wait,
                turns: this.#bodyTurns,
            });
            if (body === "too-large") {
                reply.refuseUnread(createTooLargeRefusal("body", limits.bodyBytes), 413);
                return;
            }
            if (body === "no-memory" && !reply.disconnected.aborted) {
                this.#options.onNoMemory(id);
                reply.refuseUnread(createNoMemoryRefusal(), 503);
                return;
            }
            await reply.confirmCaller();
            if (typeof body === "string" || reply.disconnected.aborted) {
                this.#options.onDeparted(id);
                reply.abort("the caller has left");
                return;
            }
            memory.complete(body.length);
            await this.#handle(id, reply, () => decodeRequest(incoming, body, { arrivedAt, sentAt }));
        }
        finally {
            memory.release();
        }
    }

    async #handle(id: string, reply: CallerReply, decode: () => CallerRequest | string): Promise<void> {
        try {
            const decoded = decode();
            await (typeof decoded === "string"
                ? reply.refuse(createMalformedRefusal(decoded))
                : this.#options.handle(decoded, reply));
        }
        catch (error) {
            this.#options.onCrash(id, error);
            reply.abort("the handler failed");
        }
    }
}

/** Returns how long a request may wait unread for memory: callers give up one that is not read soon. */
function getMaxUnreadMilliseconds(incoming: IncomingMessage): number {
    const deadlineMilliseconds = getDeadline(incoming) ?? Number.POSITIVE_INFINITY;
    return Math.max(0, Math.min(maxUnreadMilliseconds, deadlineMilliseconds * maxUnreadShare));
}

function getDeadline({ rawHeaders }: IncomingMessage): number | undefined {
    return findNumber(rawHeaders, headerNames.deadline);
}

function createNoMemoryRefusal(): Refusal {
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: "overloaded",
            message: "The bodies of other requests take the memory that this node has for them.",
            remedy: "Send the request again later.",
            retryAfterMilliseconds: memoryRetryAfterMilliseconds,
        }),
    };
}

function createTooLargeRefusal(part: string, bytes: number): Refusal {
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: "too-large",
            message: `The size of the request's ${part} exceeds the limit of ${bytes} bytes.`,
            remedy: "Send a smaller request or have the limit raised.",
        }),
    };
}

function createMalformedRefusal(message: string): Refusal {
    return {
        outcome: "not-run",
        failure: new Failure({
            kind: "invalid-input",
            message,
            remedy: "Correct the header and send the request again.",
        }),
    };
}
