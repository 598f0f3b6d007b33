/**
 * Carries requests to the log service over HTTP. Tests pass a function of their own in its place.
 */
import { Agent, request as undiciRequest } from "undici";

/** A request to the log service. */
export interface LogRequest {
    readonly method: "GET" | "POST";
    readonly url: string;
    /** A JSON document. */
    readonly body?: string;
    /** How long to wait for the whole answer. */
    readonly timeoutMilliseconds: number;
    /** Ends the request early. */
    readonly signal?: AbortSignal;
}

/** An answer of the log service. */
export interface LogResponse {
    readonly status: number;
    /** The `Retry-After` header in seconds, when there was one. */
    readonly retryAfterSeconds?: number;
    readonly body: string;
}

/** Sends a request and rejects when no whole answer came. */
export type LogTransport = (request: LogRequest) => Promise<LogResponse>;

/** Makes the transport over undici, with a connection pool of its own. */
export function createTransport(): LogTransport {
    const agent = new Agent({ keepAliveTimeout: 10_000 });
    return async request => {
        // One controller a request: `AbortSignal.any` on a long-lived signal keeps every request's signal alive, which
        // would show as memory that grows with each long poll.
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
        body: await response.body.text(),
    };
}
