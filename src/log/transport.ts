/**
 * HTTP transport of requests to the log service. Tests replace it by a function.
 */
import { Agent, buildConnector, request as undiciRequest } from "undici";
import { readDocument } from "../common/index.js";
import { watchConnections } from "../connections/index.js";

/** A request to the log service. */
export interface LogRequest {
    readonly method: "GET" | "POST";
    readonly url: string;
    /** Body as a JSON document. */
    readonly body?: string;
    /** Timeout of the complete response. */
    readonly timeoutMilliseconds: number;
    /** Aborts the request. */
    readonly signal?: AbortSignal;
}

/** A response of the log service. */
export interface LogResponse {
    readonly status: number;
    /** Value of the `Retry-After` header in seconds, if present. */
    readonly retryAfterSeconds?: number;
    readonly body: string;
}

/** Sends a request. Rejects when no complete response arrives. */
export type LogTransport = (request: LogRequest) => Promise<LogResponse>;

/** Creates a transport over undici with its own connection pool. */
export function createTransport(): LogTransport {
    const agent = new Agent({ keepAliveTimeout: 10_000, connect: watchConnections(buildConnector({})) });
    return async request => {
        // One controller per request: `AbortSignal.any` on a long-lived signal retains the signal of every request, so
        // memory would grow with each long poll.
        const controller = new AbortController();
        const abort = () => controller.abort();
        const timer = setTimeout(abort, request.timeoutMilliseconds);
        request.signal?.addEventListener("abort", abort, { once: true });
        try {
            request.signal?.throwIfAborted();
            return await send(agent, request, controller.signal);
        }
        finally {
            clearTimeout(timer);
            request.signal?.removeEventListener("abort", abort);
        }
    };
}

async function send(agent: Agent, request: LogRequest, signal: AbortSignal): Promise<LogResponse> {
    const response = await undiciRequest(request.url, {
        dispatcher: agent,
        method: request.method,
        body: request.body,
        headers: request.body === undefined ? {} : { "content-type": "application/json" },
        headersTimeout: request.timeoutMilliseconds,
        bodyTimeout: request.timeoutMilliseconds,
        signal,
    });
    const retryAfter = Number(response.headers["retry-after"]);
    return {
        status: response.statusCode,
        retryAfterSeconds: Number.isFinite(retryAfter) ? retryAfter : undefined,
        body: await readDocument(response.body),
    };
}
