/**
 * Serves the platform's readiness check, the address lists for callers, and metrics.
 */
import Koa from "koa";
import { createServer, type Server } from "node:http";
import { leaveBodiesUnread, limitPipelining } from "../connections/index.js";
import { servedPaths } from "./wire.js";

/** Requests of a connection that may wait for their answers. Those of metrics are large. */
const maxPipelinedRequests = 8;
const textType = "text/plain; charset=utf-8";
const jsonType = "application/json; charset=utf-8";

/** Options of `SiteServer`. */
export interface SiteServerOptions {
    readonly isReady: () => boolean;
    /**
     * Returns the addresses that a caller in a failure domain should use, as `HOST:PORT`.
     * @param failureDomain - The caller's failure domain, if it sent one.
     */
    readonly getAddresses: (failureDomain: string | undefined) => readonly string[];
    /** Returns how long callers may cache addresses. */
    readonly getAddressTtlSeconds: () => number;
    /** Returns the metrics as text, and their content type. */
    readonly getMetrics: () => Promise<{ readonly type: string; readonly text: string; }>;
}

/** Serves on any number of addresses. */
export class SiteServer {
    readonly #app = new Koa();
    readonly #servers: Server[] = [];

    constructor(options: SiteServerOptions) {
        this.#app.use(async context => {
            switch (context.path) {
                case servedPaths.ready:
                    answerText(context, options.isReady() ? 200 : 503, textType, "");
                    return;
                case servedPaths.resolution:
                    answerAddresses(context, options);
                    return;
                case servedPaths.metrics: {
                    const { type, text } = await options.getMetrics();
                    answerText(context, 200, type, text);
                    return;
                }
            }
        });
    }

    /** Starts to listen on an additional address. */
    listen(host: string, port: number): Promise<void> {
        const serve = leaveBodiesUnread(this.#app.callback());
        const server = createServer(limitPipelining(maxPipelinedRequests, serve));
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
}

function answerAddresses(context: Koa.Context, options: SiteServerOptions): void {
    const zone = context.query.zone;
    const addresses = options.getAddresses(typeof zone === "string" ? zone : undefined);
    if (addresses.length === 0) {
        answerText(context, 503, jsonType, JSON.stringify({ error: "unavailable" }));
        return;
    }
    const content = { addresses, ttl_s: options.getAddressTtlSeconds() };
    answerText(context, 200, jsonType, JSON.stringify(content));
}

/**
 * Answers with a text whose type is stated. Given an object, Koa compares it with the classes of the fetch API, and the runtime then
 * loads all of that API, which took a node that had just started more time than all other work for its first answer.
 */
function answerText(context: Koa.Context, status: number, type: string, text: string): void {
    context.status = status;
    context.set("Content-Type", type);
    context.body = text;
}
