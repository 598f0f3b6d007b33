/**
 * HTTP server for callers.
 */
import Router from "@koa/router";
import Koa from "koa";
import type { Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type Clock, Failure, PresenceCheck, type ReadProgress } from "../common/index.js";
import type { Configuration } from "../configuration/index.js";
import { type BodyMemory, limitPipelining, TurnQueue } from "../connections/index.js";
import { events, type Journal } from "../events/index.js";
import { createWatchedRequest } from "../quarantine/index.js";
import { type AddressDocumentOptions, createAddressDocument } from "./addressDocument.js";
import { DocumentSink, endWithProblem, EventStreamSink } from "./answerSink.js";
import { checkCaller } from "./callerDisconnection.js";
import { type CallerIdentity, identifyCaller } from "./callerIdentity.js";
import type { ChatPipeline } from "./chatPipeline.js";
import { automaticModel, parseChatRequest } from "./chatRequest.js";
import {
    createDisconnection,
    createNotReadyResult,
    createStopRefusal,
    type IncomingCall,
    readSingleHeader,
    refuseAndClose,
    selectForwardedHeaders,
    sendReply,
} from "./incomingCall.js";
import type { Metrics } from "./metrics.js";
import { createNotRunRefusal, type Refusal } from "./problem.js";
import { readBody } from "./requestBody.js";
import type { ResumePipeline } from "./resumePipeline.js";
import type { ServicePipeline } from "./servicePipeline.js";

const chatPath = "/v1/chat/completions";
/** Maximum size of a caller's headers, in bytes. */
const maxHeaderBytes = 16 * 1024;
/** How long a caller may take to send its headers, in milliseconds. */
const headersTimeoutMilliseconds = 10_000;
/** Requests of a connection that may wait for their answers. Clients of HTTP libraries send one at a time. */
const maxPipelinedRequests = 32;
/** How long the last answers may take to be written when the entry stops, in milliseconds. */
const lastAnswersMilliseconds = 1_000;
/** Header in which the public client reports the number of its earlier attempts. */
const retryCountHeader = "x-stainless-retry-count";

/** Options of the server. */
export interface CallerServerOptions {
    readonly clock: Clock;
    readonly readProgress: ReadProgress;
    readonly journal: Journal;
    readonly metrics: Metrics;
    readonly getConfiguration: () => Configuration;
    readonly chatPipeline: ChatPipeline;
    readonly resumePipeline: ResumePipeline;
    readonly servicePipeline: ServicePipeline;
    readonly addresses: AddressDocumentOptions;
    readonly maxBodyBytes: number;
    readonly bodyMemory: BodyMemory;
    readonly bodyTimeoutMilliseconds: number;
    readonly maxConnections: number;
    /** Whether the entry is ready; until it has a configuration it refuses requests. */
    readonly isReady: () => boolean;
}

/** A call whose handler has not ended. */
interface OpenCall extends IncomingCall {
    /** Aborts the call as if its caller had left. */
    readonly disconnection: AbortController;
}

/** Serves callers. */
export class CallerServer {
    readonly #options: CallerServerOptions;
    readonly #server: Server;
    /** Calls whose handlers have not ended, by their responses. */
    readonly #openCalls = new Map<ServerResponse, OpenCall>();
    /** Responses that were ended since the entry stops. */
    readonly #stoppedResponses = new WeakSet<ServerResponse>();
    readonly #bodyTurns = new TurnQueue();
    #isLeaving = false;

    constructor(options: CallerServerOptions) {
        this.#options = options;
        const koa = new Koa();
        koa.silent = true;
        const router = this.#createRouter();
        koa.use(router.routes());
        koa.use(router.allowedMethods());
        this.#server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headersTimeoutMilliseconds,
            requestTimeout: options.bodyTimeoutMilliseconds + headersTimeoutMilliseconds,
            keepAliveTimeout: 30_000,
        }, limitPipelining(maxPipelinedRequests, koa.callback()));
        this.#server.maxConnections = options.maxConnections;
        this.#server.on("connection", () => options.readProgress.addConnection());
    }

    /**
     * Listens on a port.
     * @param port - The port.
     * @param address - The IP address.
     */
    listen(port: number, address: string): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, address, resolve);
        });
    }

    /** Returns the number of requests in progress. */
    getRunningCount(): number {
        return this.#openCalls.size;
    }

    /** Closes each connection after its next response from now on, so that callers connect to another entry. */
    announceLeaving(): void {
        this.#isLeaving = true;
    }

    /**
     * Stops accepting connections, and resolves when every accepted request has been answered. What has arrived is read first: a
     * connection on which a request waits unread looks idle.
     */
    async close(): Promise<void> {
        await this.#options.readProgress.readArrived();
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeIdleConnections();
        await closed;
    }

    /** Refuses the requests whose answers are incomplete, and closes every connection. */
    async abort(): Promise<void> {
        const finished: Promise<unknown>[] = [];
        for (const [response, call] of this.#openCalls) {
            if (!response.writableEnded) {
                finished.push(new Promise(resolve => response.once("close", resolve)));
                this.#stopCall(call, response);
            }
        }
        await Promise.race([Promise.all(finished), sleep(lastAnswersMilliseconds)]);
        this.#server.closeAllConnections();
    }

    #stopCall(call: OpenCall, response: ServerResponse): void {
        this.#stoppedResponses.add(response);
        if (!response.headersSent) {
            response.setHeader("connection", "close");
        }
        this.#refuse(response, call.requestId, call.identity.workspace, createStopRefusal());
        // Ends the work for the caller.
        call.disconnection.abort();
    }

    #createRouter(): Router {
        const router = new Router();
        router.get("/health", context => {
            context.status = this.#options.isReady() ? 200 : 503;
            context.body = { ready: this.#options.isReady(), leaving: this.#isLeaving };
        });
        router.get("/v1/addresses", context => {
            context.body = createAddressDocument(this.#options.addresses);
        });
        router.get(
            "/v1/models",
            context => this.#handle(context, (call, response) => this.#listModels(call, response)),
        );
        router.post(
            chatPath,
            context => this.#handle(context, (call, response) => this.#serveChat(call, context.req, response)),
        );
        router.get(
            "/v1/streams/current",
            context => this.#handle(context, (call, response) => this.#serveResumption(call, context.req, response)),
        );
        router.all(/^\/services\/([^/]+)(\/.*)$/, context =>
            this.#handle(context, (call, response) => {
                const [pool, path] = [context.captures?.[0] ?? "", context.captures?.[1] ?? "/"];
                return this.#serveService(call, context.req, response, pool, `${path}${context.search}`);
            }));
        return router;
    }

    async #handle(
        context: Koa.Context,
        serve: (call: IncomingCall, response: ServerResponse) => Promise<Refusal | undefined>,
    ): Promise<void> {
        context.respond = false;
        const response = context.res;
        const requestId = randomUUID();
        if (this.#isLeaving) {
            response.setHeader("connection", "close");
        }
        const identity = this.#identify(context.req);
        if (identity.isErr()) {
            this.#refuse(response, requestId, "unknown", createNotRunRefusal(identity.error));
            context.req.resume();
            return;
        }
        const presence = new PresenceCheck(this.#options.readProgress);
        const disconnection = createDisconnection(context.req, response);
        const connection = context.req.socket;
        const memory = this.#options.bodyMemory.add(() => connection.destroy());
        const call = {
            requestId,
            memory,
            identity: identity.value,
            disconnectSignal: disconnection.signal,
            confirmCaller: () => presence.confirm(),
            arrivedAt: this.#now(),
        };
        this.#openCalls.set(response, { ...call, disconnection });
        this.#options.metrics.running.set(this.#openCalls.size);
        try {
            const refusal = await serve(call, response);
            this.#report(call, response, refusal);
        }
        catch (error) {
            this.#reportCrash(call, response, error);
        }
        finally {
            memory.release();
            this.#openCalls.delete(response);
            this.#options.metrics.running.set(this.#openCalls.size);
        }
    }

    #identify(request: IncomingMessage): Result<CallerIdentity, Failure> {
        if (!this.#options.isReady()) {
            return createNotReadyResult();
        }
        return identifyCaller(request.headers, this.#options.getConfiguration());
    }

    #readBody(call: IncomingCall, request: IncomingMessage): Promise<Result<Buffer, Failure>> {
        const { maxBodyBytes, bodyTimeoutMilliseconds } = this.#options;
        return readBody(request, {
            maxBytes: maxBodyBytes,
            timeoutMilliseconds: bodyTimeoutMilliseconds,
            memory: call.memory,
            turns: this.#bodyTurns,
            disconnected: call.disconnectSignal,
        });
    }

    async #serveChat(
        call: IncomingCall,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<Refusal | undefined> {
        const body = await this.#readBody(call, request);
        if (body.isErr()) {
            return refuseAndClose(response, body.error);
        }
        const present = await checkCaller(call);
        if (present.isErr()) {
            return createNotRunRefusal(present.error);
        }
        const { identity } = call;
        const parsed = parseChatRequest(body.value.toString("utf8"), identity.settings.maxTokens);
        if (parsed.isErr()) {
            return createNotRunRefusal(parsed.error);
        }
        const deadline = AbortSignal.timeout(identity.settings.deadlineMilliseconds);
        const sink = parsed.value.streamed
            ? new EventStreamSink(response, call.requestId)
            : new DocumentSink(response, call.requestId);
        const result = await this.#options.chatPipeline.run({
            ...call,
            ...identity,
            priority: identity.settings.priority,
            isRetry: Number(readSingleHeader(request.headers[retryCountHeader]) ?? 0) > 0,
            sessionToken: readSingleHeader(request.headers["x-rattanlock-session-token"]),
            request: parsed.value,
            watched: createWatchedRequest({
                id: call.requestId,
                isStream: true,
                content: {
                    method: "POST",
                    host: "",
                    path: chatPath,
                    workspace: identity.workspace,
                    body: body.value,
                },
                query: "",
                prompt: { pool: "", parts: parsed.value.promptParts },
            }),
            sink,
            deadlineSignal: deadline,
        });
        if (result.isErr() && sink.hasStarted) {
            sink.fail(result.error);
        }
        return result.isErr() ? result.error : undefined;
    }

    async #serveResumption(
        call: IncomingCall,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<Refusal | undefined> {
        const sink = new EventStreamSink(response, call.requestId);
        const result = await this.#options.resumePipeline.run({
            token: readSingleHeader(request.headers["x-rattanlock-resume"]) ?? "",
            lastId: Number(readSingleHeader(request.headers["last-event-id"]) ?? 0),
            identity: call.identity,
            sink,
            disconnectSignal: call.disconnectSignal,
        });
        if (result.isErr() && sink.hasStarted) {
            sink.fail(result.error);
        }
        return result.isErr() ? result.error : undefined;
    }

    async #serveService(
        call: IncomingCall,
        request: IncomingMessage,
        response: ServerResponse,
        pool: string,
        path: string,
    ): Promise<Refusal | undefined> {
        const body = await this.#readBody(call, request);
        if (body.isErr()) {
            return refuseAndClose(response, body.error);
        }
        const present = await checkCaller(call);
        if (present.isErr()) {
            return createNotRunRefusal(present.error);
        }
        const result = await this.#options.servicePipeline.run({
            ...call,
            ...call.identity,
            pool,
            path,
            method: request.method ?? "GET",
            headers: selectForwardedHeaders(request),
            body: body.value.byteLength === 0 ? undefined : body.value,
            idempotencyKey: readSingleHeader(request.headers["idempotency-key"]),
        });
        if (result.isErr()) {
            return result.error;
        }
        sendReply(response, call.requestId, result.value);
        return undefined;
    }

    async #listModels(call: IncomingCall, response: ServerResponse): Promise<undefined> {
        const data = [{ id: automaticModel, object: "model", created: 0, owned_by: "rattanlock" }];
        for (const version of call.identity.settings.allowedVersions) {
            data.push({ id: version.id, object: "model", created: 0, owned_by: version.model });
        }
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({ object: "list", data }));
        return undefined;
    }

    #report(call: IncomingCall, response: ServerResponse, refusal: Refusal | undefined): void {
        const { workspace } = call.identity;
        if (this.#stoppedResponses.has(response)) {
            return;
        }
        if (refusal !== undefined) {
            this.#refuse(response, call.requestId, workspace, refusal);
            return;
        }
        this.#options.metrics.requests.inc({ workspace, result: "answered", outcome: "ran" });
        this.#options.journal.write(events.requestAnswered, {
            request: call.requestId,
            workspace,
            milliseconds: Math.round(this.#now() - call.arrivedAt),
        });
    }

    #refuse(response: ServerResponse, requestId: string, workspace: string, refusal: Refusal): void {
        const { failure, outcome } = refusal;
        this.#options.metrics.requests.inc({ workspace, result: failure.kind, outcome });
        this.#options.journal.write(events.requestRefused, {
            request: requestId,
            workspace,
            kind: failure.kind,
            outcome,
            message: failure.message,
        });
        endWithProblem(response, refusal, requestId);
    }

    #reportCrash(call: IncomingCall, response: ServerResponse, error: unknown): void {
        this.#options.journal.write(events.requestCrashed, {
            request: call.requestId,
            message: error instanceof Error ? error.stack ?? error.message : String(error),
        });
        const failure = new Failure({
            kind: "unavailable",
            message: "The entry failed to process this request.",
            remedy: "Check its outcome before sending it again, and report the request identifier.",
            cause: error,
        });
        this.#refuse(response, call.requestId, call.identity.workspace, { failure, outcome: "unknown" });
    }

    #now(): number {
        return this.#options.clock.monotonic();
    }
}
