/**
 * HTTP server for operators: metrics, status, explanations and the events of time lines.
 */
import Router from "@koa/router";
import Koa from "koa";
import { createServer, type Server } from "node:http";
import { limitPipelining } from "../connections/index.js";
import type { EventLine } from "../events/index.js";
import type { Explanations } from "./explanations.js";
import type { Metrics } from "./metrics.js";

/** Requests of a connection that may wait for their answers. Those of metrics are large. */
const maxPipelinedRequests = 8;

/** Options of the server. */
export interface OperatorServerOptions {
    readonly metrics: Metrics;
    /** Refreshes the gauges before they are read. */
    readonly refreshMetrics: () => void;
    readonly getStatus: () => object;
    readonly explanations: Explanations;
    readonly getEvents: () => readonly EventLine[];
}

/** Serves operators. */
export class OperatorServer {
    readonly #server: Server;

    constructor(options: OperatorServerOptions) {
        const koa = new Koa();
        koa.silent = true;
        const router = createRouter(options);
        koa.use(router.routes());
        koa.use(router.allowedMethods());
        this.#server = createServer(limitPipelining(maxPipelinedRequests, koa.callback()));
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

    /** Stops at once and closes all connections; operators repeat their requests. */
    close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        return closed;
    }
}

function createRouter(options: OperatorServerOptions): Router {
    const router = new Router();
    router.get("/metrics", async context => {
        options.refreshMetrics();
        context.type = options.metrics.registry.contentType;
        context.body = await options.metrics.registry.metrics();
    });
    router.get("/status", context => {
        context.body = options.getStatus();
    });
    router.get("/explain/:request", context => {
        const explanation = options.explanations.get(context.params.request);
        context.status = explanation === undefined ? 404 : 200;
        context.body = explanation ?? { request: context.params.request, lines: [] };
    });
    router.get("/events", context => {
        const { request, rollout } = context.query;
        context.body = selectEvents(options.getEvents(), request, rollout);
    });
    return router;
}

function selectEvents(
    lines: readonly EventLine[],
    request: string | string[] | undefined,
    rollout: string | string[] | undefined,
): readonly EventLine[] {
    if (typeof request === "string") {
        return lines.filter(line => line.request === request);
    }
    if (typeof rollout === "string") {
        return lines.filter(line => line.rollout === rollout);
    }
    return lines;
}
