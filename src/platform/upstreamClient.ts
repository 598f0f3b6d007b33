/**
 * Calls upstreams over HTTP, with the platform's headers.
 */
import { err, ok, type Result } from "neverthrow";
import { buildConnector, type Dispatcher, errors, Pool } from "undici";
import type { RegisteredUpstream } from "../fleet/index.js";
import type {
    ReportedLoad,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamCallFailure,
    UpstreamTransport,
} from "../forwarding/index.js";
import { provesNothingWritten } from "../upstream/index.js";
import { findHeader, findNumber, pickAnswerHeaders } from "./headers.js";
import { headerNames } from "./wire.js";

/** A connection takes a millisecond or two; a machine that is away or cut off does not answer at all. */
const connectTimeoutMilliseconds = 400;
/** Connections are dropped so long before the upstream says it would close them: a request that crosses the close is lost. */
const keepAliveMarginMilliseconds = 1_000;
/** How long an idle connection is kept when the upstream does not say, in milliseconds. */
const defaultKeepAliveMilliseconds = 4_000;
const maxKeepAliveMilliseconds = 15_000;
/** Statuses that promise that a request has not run; from an upstream they hold only with its own word for it. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 429, 503]);
const misdirectedStatus = 421;

/** Options of a client. */
export interface UpstreamClientOptions {
    /** Returns the connections that this node may hold to an upstream of a pool. */
    readonly getConnectionLimit: (pool: string) => number;
}

/**
 * An answer without a length that ends within this time of a reset of one of the upstream's connections is not taken for
 * complete, in milliseconds. The HTTP library ends such an answer in the same way whether its connection was closed or reset;
 * half a booking's confirmation would pass for a whole one.
 */
const resetWindowMilliseconds = 100;

interface PooledUpstream {
    readonly upstream: RegisteredUpstream;
    readonly pool: Pool;
    readonly resets: ResetTracker;
}

/** Remembers when a connection of an upstream was last reset. */
class ResetTracker {
    #lastAt = Number.NEGATIVE_INFINITY;

    /** Notes a reset. */
    mark(): void {
        this.#lastAt = performance.now();
    }

    /** Tells whether there was a reset just now. */
    isRecent(): boolean {
        return performance.now() - this.#lastAt < resetWindowMilliseconds;
    }
}

/** Calls upstreams; keeps connections to each. */
export class UpstreamClient implements UpstreamTransport {
    readonly #options: UpstreamClientOptions;
    readonly #pools = new Map<string, PooledUpstream>();

    constructor(options: UpstreamClientOptions) {
        this.#options = options;
    }

    /** Makes one call; never repeats it. */
    async call(
        upstream: RegisteredUpstream,
        call: UpstreamCall,
    ): Promise<Result<UpstreamAnswer, UpstreamCallFailure>> {
        try {
            const { pool, resets } = this.#getPool(upstream);
            const response = await pool.request({
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
            const kind = provesNothingWritten(error) ? "not-sent" : "broken";
            return err({ kind, reason: describe(error) });
        }
    }

    /** Opens new connections from now on; calls under way end on the old ones. */
    renewConnections(upstream: RegisteredUpstream): void {
        this.forget(upstream.id);
    }

    /**
     * Lets go of the connections to an upstream that is gone, or was started anew.
     * @param id - Its identifier.
     */
    forget(id: string): void {
        const known = this.#pools.get(id);
        if (known !== undefined) {
            this.#pools.delete(id);
            closeIgnoringErrors(known.pool);
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        for (const { pool } of this.#pools.values()) {
            await pool.destroy();
        }
        this.#pools.clear();
    }

    #getPool(upstream: RegisteredUpstream): PooledUpstream {
        const existing = this.#pools.get(upstream.id);
        if (existing !== undefined && existing.upstream.address === upstream.address) {
            return existing;
        }
        if (existing !== undefined) {
            closeIgnoringErrors(existing.pool);
        }
        const resets = new ResetTracker();
        const pool = new Pool(`http://${upstream.address}`, {
            connections: this.#options.getConnectionLimit(upstream.pool),
            pipelining: 1,
            connect: createConnector(resets),
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: defaultKeepAliveMilliseconds,
            keepAliveMaxTimeout: maxKeepAliveMilliseconds,
            keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
        });
        const pooled = { upstream, pool, resets };
        this.#pools.set(upstream.id, pooled);
        return pooled;
    }
}

/** Opens connections, and hears of their resets before the HTTP library does. */
function createConnector(resets: ResetTracker): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
    return (options, callback) => {
        connect(options, (...[error, socket]) => {
            if (error) {
                // eslint-disable-next-line no-restricted-syntax -- The library's own signature.
                callback(error, null);
                return;
            }
            socket.on("error", cause => {
                // The library reports an orderly close as an error of its own; that is how such an answer ends well.
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
    const load = readLoad(raw);
    const echoed = findHeader(raw, headerNames.requestId);
    const fail = (kind: UpstreamCallFailure["kind"], reason: string): Result<never, UpstreamCallFailure> => {
        discard(response);
        return err({ kind, reason, load });
    };
    if (echoed !== undefined && echoed !== call.request.id) {
        // A late answer to an earlier request on this connection. What follows it can't be told apart any more.
        response.body.on("error", () => {
            // Destroying the body ends the connection, and is reported as an error of the body.
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
        return fail("broken", `status ${response.statusCode} without a word on whether it ran`);
    }
    const isSealed = findHeader(raw, headerNames.seal) !== undefined;
    if (!isSealed && response.statusCode < 300) {
        return fail("broken", "a success that the upstream does not vouch for");
    }
    return ok({
        status: response.statusCode,
        headers: pickAnswerHeaders(raw),
        isSealed,
        confidence: findNumber(raw, headerNames.confidence),
        load,
        hasKnownEnd: hasFraming(raw),
        body: hasFraming(raw) ? response.body as AsyncIterable<Buffer> : readUnframed(response.body, resets),
    });
}

/** Tells whether the end of an answer can be told from a connection that broke. */
function hasFraming(raw: readonly string[]): boolean {
    return findHeader(raw, "content-length") !== undefined || findHeader(raw, "transfer-encoding") !== undefined;
}

/** Reads a body that ends with its connection; throws when the connection was reset. */
async function* readUnframed(body: AsyncIterable<Buffer>, resets: ResetTracker): AsyncGenerator<Buffer> {
    yield* body;
    if (resets.isRecent()) {
        throw new Error("The connection was reset before the end of an answer without a length.");
    }
}

/** Reads the rest of a short refusal, so that its connection can be used again. */
function discard(response: Dispatcher.ResponseData): void {
    response.body.dump().catch(() => {
        // The connection is closed by the library then; the refusal has been read.
    });
}

function readLoad(raw: readonly string[]): ReportedLoad | undefined {
    const numbers = (findHeader(raw, headerNames.load) ?? "").split(",").map(Number);
    if (numbers.length !== 3 || !numbers.every(number => Number.isFinite(number) && number >= 0)) {
        return undefined;
    }
    const [running, waiting, slots] = numbers;
    return { running, waiting, slots };
}

/** Ends idle connections now and the others when their answers end. */
function closeIgnoringErrors(pool: Pool): void {
    pool.close().catch(() => {
        // Nothing waits for a pool that is let go.
    });
}

function describe(error: unknown): string {
    const code = (error as { code?: unknown; } | undefined)?.code;
    return typeof code === "string" ? code : String(error);
}
