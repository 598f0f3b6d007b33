/**
 * Calls upstreams over HTTP, with the platform's headers.
 */
import { err, ok, type Result } from "neverthrow";
import { buildConnector, type Dispatcher, errors, Pool } from "undici";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { UpstreamAnswer, UpstreamCall, UpstreamCallFailure, UpstreamTransport } from "../forwarding/index.js";
import { hasFraming, type RelayTarget } from "../reachability/index.js";
import { classifyTransportError, describeTransportError } from "../upstream/index.js";
import { findHeader, findNumber, pickAnswerHeaders } from "./headers.js";
import { readStatement } from "./readStatement.js";
import { headerNames } from "./wire.js";

/** Connecting takes a millisecond or two. A machine that is down or partitioned does not respond at all. */
const connectTimeoutMilliseconds = 400;
/**
 * Connections are closed this long before the upstream's keep-alive timeout. A request that is sent while the
 * upstream closes the connection is lost.
 */
const keepAliveMarginMilliseconds = 1_000;
/** Keep-alive timeout for upstreams that announce none. */
const defaultKeepAliveMilliseconds = 4_000;
const maxKeepAliveMilliseconds = 15_000;
/** Statuses that mean that a request has not run. From an upstream they count only together with its explicit header. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 429, 503]);
const misdirectedStatus = 421;

/** Options of `UpstreamClient`. */
export interface UpstreamClientOptions {
    /** Returns the maximum number of connections from this node to one upstream of a pool. */
    readonly getConnectionLimit: (pool: string) => number;
    /** Returns the interceptor that sends requests to a pool through other nodes, or undefined when this node reaches the pool. */
    readonly getRelay?: (pool: string) => Dispatcher.DispatcherComposeInterceptor | undefined;
    /** Called when a connection to an upstream could not be opened. */
    readonly onConnectFailure?: (upstream: RegisteredUpstream) => void;
}

/**
 * An answer without a length that ends this soon after a reset of one of the upstream's connections counts as incomplete. The
 * HTTP library ends such an answer in the same way whether the connection was closed or reset, so a truncated confirmation of a
 * booking could pass for a complete one.
 */
const resetWindowMilliseconds = 100;

interface PooledUpstream {
    readonly upstream: RegisteredUpstream;
    readonly pool: Pool;
    /** Maximum number of connections of the pool. */
    readonly connections: number;
    readonly resets: ResetTracker;
}

/** Records when a connection of an upstream was last reset. */
class ResetTracker {
    #lastAt = Number.NEGATIVE_INFINITY;

    /** Records a reset. */
    mark(): void {
        this.#lastAt = performance.now();
    }

    /** Returns whether a connection was reset within the window. */
    isRecent(): boolean {
        return performance.now() - this.#lastAt < resetWindowMilliseconds;
    }
}

/** Calls upstreams and pools the connections to each. */
export class UpstreamClient implements UpstreamTransport {
    readonly #options: UpstreamClientOptions;
    readonly #pools = new Map<string, PooledUpstream>();
    /** Connections for requests of other nodes. They take the place of connections that those nodes cannot open. */
    readonly #relayPools = new Map<string, PooledUpstream>();

    constructor(options: UpstreamClientOptions) {
        this.#options = options;
    }

    /** Sends one request. Never retries it. */
    async call(
        upstream: RegisteredUpstream,
        call: UpstreamCall,
    ): Promise<Result<UpstreamAnswer, UpstreamCallFailure>> {
        try {
            const relay = this.#options.getRelay?.(upstream.pool);
            const { pool, resets } = this.#getPool(this.#pools, upstream);
            const response = await (relay === undefined ? pool : pool.compose(relay)).request({
                origin: `http://${upstream.address}`,
                method: call.request.method as Dispatcher.HttpMethod,
                path: call.request.target,
                headers: createHeaders(upstream, call),
                body: call.request.body.length === 0 ? undefined : call.request.body,
                signal: call.signal,
                responseHeaders: "raw",
            });
            return readHead(response, call, resets);
        }
        catch (error) {
            return err({ kind: classifyTransportError(error, call.signal), reason: describeTransportError(error) });
        }
    }

    /** Returns the connections to an upstream, for requests of other nodes. */
    getRelayTarget(upstream: RegisteredUpstream): RelayTarget {
        const { pool, connections, resets } = this.#getPool(this.#relayPools, upstream);
        return {
            address: upstream.address,
            dispatcher: pool,
            hasRoom: () => pool.stats.size < connections,
            wasReset: () => resets.isRecent(),
        };
    }

    /** Opens new connections from now on. Calls in flight complete on the old ones. */
    renewConnections(upstream: RegisteredUpstream): void {
        this.closeConnections(upstream.id);
    }

    /**
     * Closes the connections to an upstream that was removed or restarted.
     * @param id - Its identifier.
     */
    closeConnections(id: string): void {
        for (const pools of [this.#pools, this.#relayPools]) {
            const known = pools.get(id);
            if (known !== undefined) {
                pools.delete(id);
                closeIgnoringErrors(known.pool);
            }
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        for (const { pool } of [...this.#pools.values(), ...this.#relayPools.values()]) {
            await pool.destroy();
        }
        this.#pools.clear();
        this.#relayPools.clear();
    }

    #getPool(pools: Map<string, PooledUpstream>, upstream: RegisteredUpstream): PooledUpstream {
        const existing = pools.get(upstream.id);
        if (existing !== undefined && existing.upstream.address === upstream.address) {
            return existing;
        }
        if (existing !== undefined) {
            closeIgnoringErrors(existing.pool);
        }
        const resets = new ResetTracker();
        const connections = this.#options.getConnectionLimit(upstream.pool);
        const pool = new Pool(`http://${upstream.address}`, {
            connections,
            pipelining: 1,
            connect: createConnector(resets, () => this.#options.onConnectFailure?.(upstream)),
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: defaultKeepAliveMilliseconds,
            keepAliveMaxTimeout: maxKeepAliveMilliseconds,
            keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
        });
        const pooled = { upstream, pool, connections, resets };
        pools.set(upstream.id, pooled);
        return pooled;
    }
}

/** Creates a connector that records resets before the HTTP library reports them. */
function createConnector(resets: ResetTracker, onFailure: () => void): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
    return (options, callback) => {
        connect(options, (...[error, socket]) => {
            if (error) {
                onFailure();
                // eslint-disable-next-line no-restricted-syntax -- The library's own signature.
                callback(error, null);
                return;
            }
            socket.on("error", cause => {
                // The library reports an orderly close as an error of its own class. Complete answers without a length end that way.
                if (!(cause instanceof errors.UndiciError)) {
                    resets.mark();
                }
            });
            // eslint-disable-next-line no-restricted-syntax -- The library's own signature.
            callback(null, socket);
        });
    };
}

function createHeaders(upstream: RegisteredUpstream, call: UpstreamCall): string[] {
    const { request, deadlineMilliseconds, workspace, model, urgency, lastEventId } = call;
    const headers = [...request.headers];
    headers.push(headerNames.expectedRunner, upstream.id);
    headers.push(headerNames.deadline, String(Math.max(1, Math.floor(deadlineMilliseconds))));
    if (workspace !== undefined) {
        headers.push(headerNames.workspace, workspace);
    }
    const modelName = model ?? request.generation?.model;
    if (modelName !== undefined) {
        headers.push(headerNames.model, modelName);
    }
    if (request.generation !== undefined) {
        headers.push(headerNames.urgency, String(urgency));
    }
    if (lastEventId !== undefined) {
        headers.push(headerNames.lastEventId, lastEventId);
    }
    return headers;
}

function readHead(
    response: Dispatcher.ResponseData,
    call: UpstreamCall,
    resets: ResetTracker,
): Result<UpstreamAnswer, UpstreamCallFailure> {
    const raw = response.headers as unknown as readonly string[];
    const statement = readStatement(raw, response.statusCode);
    const echoedId = findHeader(raw, headerNames.requestId);
    const fail = (kind: UpstreamCallFailure["kind"], reason: string): Result<never, UpstreamCallFailure> => {
        discard(response);
        return err({ kind, reason, ...statement });
    };
    if (echoedId !== undefined && echoedId !== call.request.id) {
        // This is a late answer to an earlier request on the connection. What follows on it cannot be attributed to a request.
        response.body.on("error", () => {
            // Destroying the body closes the connection, which the body reports as an error.
        });
        response.body.destroy();
        return err({ kind: "broken", reason: "the answer belongs to another request" });
    }
    if (response.statusCode === misdirectedStatus) {
        return fail("replaced", "another upstream has the address");
    }
    if (findHeader(raw, headerNames.notExecuted) !== undefined) {
        return fail("refused", `status ${response.statusCode}, not executed`);
    }
    if (notExecutedStatuses.has(response.statusCode)) {
        return fail("broken", `status ${response.statusCode} that does not state whether the request ran`);
    }
    const isSealed = findHeader(raw, headerNames.seal) !== undefined;
    if (!isSealed && response.statusCode < 300) {
        return fail("broken", "a success without the upstream's seal");
    }
    return ok({
        status: response.statusCode,
        headers: pickAnswerHeaders(raw),
        isSealed,
        confidence: findNumber(raw, headerNames.confidence),
        ...statement,
        hasKnownEnd: hasFraming(raw),
        body: hasFraming(raw) ? response.body as AsyncIterable<Buffer> : readUnframed(response.body, resets),
    });
}

/** Reads a body that ends with its connection. Throws if the connection was reset. */
async function* readUnframed(body: AsyncIterable<Buffer>, resets: ResetTracker): AsyncGenerator<Buffer> {
    yield* body;
    if (resets.isRecent()) {
        throw new Error("The connection was reset before the end of an answer without a length.");
    }
}

/** Reads the rest of a short refusal, so that its connection can be reused. */
function discard(response: Dispatcher.ResponseData): void {
    response.body.dump().catch(() => {
        // The library then closes the connection. The headers of the refusal have already been read.
    });
}

/** Closes idle connections now and the others when their answers end. */
function closeIgnoringErrors(pool: Pool): void {
    pool.close().catch(() => {
        // Nothing waits for a discarded pool.
    });
}
