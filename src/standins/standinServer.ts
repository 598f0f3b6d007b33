/**
 * HTTP server that all stand-ins share. It adds control routes for tests, outages and delays.
 */
import Router from "@koa/router";
import Koa from "koa";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { json } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import type { Failure } from "../common/index.js";
import type { Address } from "./address.js";
import type { CommonConditions, TlsFiles } from "./conditions.js";

/** Time after which `stop` closes connections whose answers are still in progress. */
const stopTimeoutMilliseconds = 1000;
const idleSweepMilliseconds = 20;
const controlPaths: readonly string[] = ["/faults", "/journal"];

/** Options of a stand-in's server. */
export interface StandinServerOptions {
    readonly listen: Address;
    readonly getConditions: () => CommonConditions;
    readonly changeConditions: (change: object) => Result<unknown, Failure> | Promise<Result<unknown, Failure>>;
    readonly getJournal: () => readonly unknown[];
    /** Adds the stand-in's own routes. */
    readonly addRoutes: (router: Router) => void;
    /** Handles requests that match no route. */
    readonly fallback?: Koa.Middleware;
    /** Returns whether a request is exempt from outages and delays, such as one by which a test changes the stand-in. */
    readonly isControlRequest?: (context: Koa.Context) => boolean;
}

/** Serves one stand-in over HTTP. */
export class StandinServer {
    readonly #options: StandinServerOptions;
    readonly #server: Server;
    readonly #tlsServer: Server | undefined;

    constructor(options: StandinServerOptions) {
        this.#options = options;
        const application = new Koa();
        application.silent = true;
        application.use(handleErrors);
        application.use((context, next) => this.#applyConditions(context, next));
        const router = new Router();
        this.#addControlRoutes(router);
        options.addRoutes(router);
        application.use(router.routes());
        if (options.fallback !== undefined) {
            application.use(options.fallback);
        }
        const handle = application.callback();
        const listener: RequestListener = (request, response) => void handle(request, response);
        const { tls } = options.getConditions();
        this.#server = createServer(listener);
        this.#tlsServer = tls && createMutualTlsServer(tls, listener);
    }

    /** Starts listening and returns the address with the port in use. */
    async start(): Promise<Address> {
        const { host } = this.#options.listen;
        const port = await listen(this.#server, this.#options.listen);
        const { tls } = this.#options.getConditions();
        if (this.#tlsServer !== undefined && tls !== undefined) {
            await listen(this.#tlsServer, { host, port: port + tls.portOffset });
        }
        return { host, port };
    }

    /** Stops listening, waits for answers in progress up to a timeout, and closes all connections. */
    async stop(): Promise<void> {
        await Promise.all([this.#server, this.#tlsServer].map(server => server && stopServer(server)));
    }

    async #applyConditions(context: Koa.Context, next: Koa.Next): Promise<void> {
        if (controlPaths.includes(context.path) || this.#options.isControlRequest?.(context) === true) {
            return next();
        }
        const { outage, delayMilliseconds } = this.#options.getConditions();
        if (outage === "drop") {
            dropConnection(context);
            return;
        }
        if (outage === "answer") {
            sendProblem(context, 503, "outage", "The service is unavailable. Try again later.");
            return;
        }
        if (delayMilliseconds > 0) {
            await sleep(delayMilliseconds);
        }
        return next();
    }

    #addControlRoutes(router: Router): void {
        router.get("/faults", context => {
            context.body = this.#options.getConditions();
        });
        router.post("/faults", async context => {
            const changed = await this.#options.changeConditions(await readJson(context) as object);
            if (changed.isErr()) {
                sendProblem(context, 400, changed.error.kind, changed.error.message);
                return;
            }
            context.body = this.#options.getConditions();
        });
        router.get("/journal", context => {
            const from = Number(context.query.from ?? 0);
            context.body = this.#options.getJournal().slice(from);
        });
    }
}

/** Reads the JSON body of a request. Any other body is answered with 400. */
export async function readJson(context: Koa.Context): Promise<unknown> {
    try {
        return await json(context.req);
    }
    catch {
        return context.throw(400, "The body is not JSON. Send a JSON object.");
    }
}

/** Answers with a problem document. */
export function sendProblem(context: Koa.Context, status: number, type: string, detail: string): void {
    context.status = status;
    context.body = { type, status, title: type, detail };
    context.type = "application/problem+json";
}

/** Sets the header that states a rate limit; 0 states none. */
export function setRateLimit(context: Koa.Context, requestsPerSecond: number): void {
    if (requestsPerSecond > 0) {
        context.set("X-Rate-Limit", String(requestsPerSecond));
    }
}

/** Closes the connection without an answer, as a network failure does. */
export function dropConnection(context: Koa.Context): void {
    context.respond = false;
    context.req.socket.destroy();
}

/** Starts listening and returns the port in use. */
function listen(server: Server, { host, port }: Address): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
    });
}

/** Waits for answers in progress up to a timeout and closes all connections. */
async function stopServer(server: Server): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    const sweepTimer = setInterval(() => server.closeIdleConnections(), idleSweepMilliseconds);
    const closeTimer = setTimeout(() => server.closeAllConnections(), stopTimeoutMilliseconds);
    await closed;
    clearInterval(sweepTimer);
    clearTimeout(closeTimer);
}

function createMutualTlsServer(files: TlsFiles, listener: RequestListener): Server {
    return createTlsServer({
        cert: readFileSync(files.certificate),
        key: readFileSync(files.key),
        ca: readFileSync(files.authority),
        requestCert: true,
        rejectUnauthorized: true,
    }, listener);
}

async function handleErrors(context: Koa.Context, next: Koa.Next): Promise<void> {
    try {
        await next();
    }
    catch (error) {
        const status = error instanceof Error && "status" in error ? Number(error.status) : 500;
        sendProblem(context, status, "bad-request", error instanceof Error ? error.message : String(error));
    }
}
