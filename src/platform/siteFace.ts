/**
 * Answers the platform's question whether the node is ready, callers' question for addresses, and asks for metrics.
 *
 * Readiness and addresses are asked for as soon as a node listens. They are answered on Node's own server: loading Koa and its first
 * answer took 55 ms of processor time, which callers of a node that has just started waited for.
 */
import Koa from "koa";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { servedPaths } from "./wire.js";

/** What the answers are made from. */
export interface SiteFaceOptions {
    readonly isReady: () => boolean;
    /**
     * Returns the addresses that a caller of a failure domain should use, `HOST:PORT`.
     * @param failureDomain - The caller's, if it said.
     */
    readonly getAddresses: (failureDomain: string | undefined) => readonly string[];
    /** Returns how long callers may keep addresses. */
    readonly getKeepSeconds: () => number;
    /** Returns the metrics as text, and their content type. */
    readonly getMetrics: () => Promise<{ readonly type: string; readonly text: string; }>;
}

/** Answers a request on Node's own server. */
type Answer = (request: IncomingMessage, response: ServerResponse) => unknown;

/** Serves on any number of addresses. */
export class SiteFace {
    readonly #options: SiteFaceOptions;
    readonly #servers: Server[] = [];
    /** Created when somebody asks for metrics. */
    #answerOthers: Answer | undefined;

    constructor(options: SiteFaceOptions) {
        this.#options = options;
    }

    /** Listens on one more address. */
    listen(host: string, port: number): Promise<void> {
        const server = createServer((request, response) => this.#answer(request, response));
        this.#servers.push(server);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
    }

    /** Stops listening and closes all connections. */
    close(): void {
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    #answer(request: IncomingMessage, response: ServerResponse): void {
        const url = new URL(request.url ?? "/", "http://site");
        switch (url.pathname) {
            case servedPaths.ready:
                response.writeHead(this.#options.isReady() ? 200 : 503).end();
                return;
            case servedPaths.resolution:
                this.#answerAddresses(url.searchParams.get("zone") ?? undefined, response);
                return;
            default:
                this.#answerOthers ??= createMetricsApplication(this.#options).callback();
                void this.#answerOthers(request, response);
        }
    }

    #answerAddresses(failureDomain: string | undefined, response: ServerResponse): void {
        const addresses = this.#options.getAddresses(failureDomain);
        const isEmpty = addresses.length === 0;
        const body = isEmpty ? { error: "unavailable" } : { addresses, ttl_s: this.#options.getKeepSeconds() };
        response.writeHead(isEmpty ? 503 : 200, { "Content-Type": "application/json" }).end(JSON.stringify(body));
    }
}

function createMetricsApplication(options: SiteFaceOptions): Koa {
    const application = new Koa();
    application.use(async context => {
        if (context.path !== servedPaths.metrics) {
            return;
        }
        const { type, text } = await options.getMetrics();
        context.type = type;
        context.body = text;
    });
    return application;
}
