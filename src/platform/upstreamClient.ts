/**
 * Calls upstreams over HTTP, with the platform's headers.
 */
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { hasStatedEnd } from "../connections/index.js";
import type { SendLimit } from "../decisions/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type {
    UpstreamAnswer,
    UpstreamCall,
    UpstreamCallFailure,
    UpstreamStatement,
    UpstreamTransport,
} from "../forwarding/index.js";
import type { Liveness, RelayTarget } from "../reachability/index.js";
import { classifyTransportError, describeTransportError } from "../upstream/index.js";
import { destroyBody } from "./destroyBody.js";
import { findHeader, findNumber, pickAnswerHeaders } from "./headers.js";
import { LivenessChecks, type LivenessRequest } from "./livenessChecks.js";
import { readLiveness } from "./readLiveness.js";
import { readStatement } from "./readStatement.js";
import { observeSending } from "./sendingObserver.js";
import { UpstreamConnections } from "./upstreamConnections.js";
import { headerNames, runnerPaths } from "./wire.js";

/** Statuses that mean that a request has not run. From an upstream they count only together with its explicit header. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 429, 503]);
const misdirectedStatus = 421;
/** Larger ones are none of the protocol (RFC 9110, section 15). */
const maxStatus = 599;
/** Bytes of the identifier of a request of the node itself. */
const requestIdBytes = 8;
/** Time between two looks at whether an upstream may be asked now. */
const askPauseMilliseconds = 50;

/** Why an upstream is not known to run, for log lines. */
const livenessFailures: Readonly<Record<Liveness, string | undefined>> = {
    running: undefined,
    replaced: "the answer is not one of this life of the upstream",
    unanswered: "the answer is one to another request",
    unasked: "not sent after the wait for a connection",
};

/** Options of `UpstreamClient`. */
export interface UpstreamClientOptions {
    /** Returns the maximum number of connections from this node to one upstream of a pool. */
    readonly getConnectionLimit: (pool: string) => number;
    /** Returns the interceptor that sends requests to a pool through other nodes, or undefined when this node reaches the pool. */
    readonly getRelay?: (pool: string) => Dispatcher.DispatcherComposeInterceptor | undefined;
    /** Called when a connection to an upstream could not be opened. */
    readonly onConnectFailure?: (upstream: RegisteredUpstream) => void;
    /** Called when the connection of an answer was closed since it had no end, with the bytes in vain. */
    readonly onOversized?: (upstream: RegisteredUpstream, bytes: number) => void;
    /** Returns whether an upstream may receive requests of this node now. Without it, each one may. */
    readonly mayReceive?: (upstream: RegisteredUpstream) => boolean;
    /** Returns the path at which the upstreams of a pool answer whether they are healthy; undefined while it is not known. */
    readonly getHealthPath?: (pool: string) => string | undefined;
    /** Limits the requests with which this node asks upstreams for a sign of life. Without it, each one may be asked. */
    readonly checkLimit?: Pick<SendLimit<RegisteredUpstream>, "isAdmitted" | "add">;
    /** Called when an upstream was asked for a sign of life, with the reason why it has given none. */
    readonly onCheck?: (upstream: RegisteredUpstream, failure: string | undefined) => void;
    /** Limits the requests of other nodes. Their own limits are applied there. */
    readonly relayLimit?: Pick<SendLimit<RegisteredUpstream>, "isAdmitted" | "add">;
    /** Called with what the head of an answer states that this node forwards for another one. */
    readonly onRelayedStatement?: (upstream: RegisteredUpstream, statement: UpstreamStatement) => void;
}

/** Calls upstreams and pools the connections to each. */
export class UpstreamClient implements UpstreamTransport {
    readonly #options: UpstreamClientOptions;
    readonly #connections = new Map<string, UpstreamConnections>();
    /** Connections for requests of other nodes. They take the place of connections that those nodes cannot open. */
    readonly #relayConnections = new Map<string, UpstreamConnections>();
    readonly #liveness = new LivenessChecks((upstream, options) => this.#ask(upstream, options));
    /** Connections for which requests wait or have waited. */
    readonly #waitedFor = new Set<UpstreamConnections>();

    constructor(options: UpstreamClientOptions) {
        this.#options = options;
    }

    /** Sends one request. Never retries it. */
    async call(
        upstream: RegisteredUpstream,
        call: UpstreamCall,
    ): Promise<Result<UpstreamAnswer, UpstreamCallFailure>> {
        let sentAt = 0;
        try {
            const response = await this.#send(upstream, createRequest(upstream, call), {
                ...call,
                onSent: () => {
                    sentAt = this.#liveness.getMoment();
                    call.onSent?.();
                },
                mayStillSend: () => !call.isWithdrawn() && (this.#options.mayReceive?.(upstream) ?? true),
            });
            if (response === undefined) {
                return err({ kind: "no-room", reason: "not sent after the wait for a connection" });
            }
            if (isSignOfLife(response, call.request.id)) {
                this.#liveness.addAnswer(upstream, sentAt);
            }
            return readHead(response, call);
        }
        catch (error) {
            return err({ kind: classifyTransportError(error, call.signal), reason: describeTransportError(error) });
        }
    }

    confirmRunning(upstream: RegisteredUpstream, signal: AbortSignal): Promise<boolean> {
        return this.#liveness.confirm(upstream, signal);
    }

    /** Asks an upstream for a sign of life that it gives after now, and returns what it has shown. */
    checkLiveness(upstream: RegisteredUpstream): Promise<Liveness> {
        return this.#liveness.check(upstream, new AbortController().signal);
    }

    /** Asks an upstream for a sign of life, with a request that needs no slot where it serves one. */
    async #ask(upstream: RegisteredUpstream, { onSent, signal }: Parameters<LivenessRequest>[1]): Promise<Liveness> {
        const path = upstream.models.length > 0
            ? runnerPaths.report
            : this.#options.getHealthPath?.(upstream.pool);
        if (path === undefined || !await this.#waitForLimit(upstream, signal)) {
            return "unasked";
        }
        const requestId = randomBytes(requestIdBytes).toString("hex");
        let failure: string | undefined = undefined;
        let liveness: Liveness = "unasked";
        try {
            const response = await this.#send(upstream, createCheck(upstream, { path, requestId, signal }), {
                onSent: () => {
                    liveness = "unanswered";
                    onSent();
                },
                signal,
                confirmCaller: () => undefined,
                mayStillSend: () => true,
            });
            liveness = response === undefined ? "unasked" : await readLiveness(response, upstream, requestId);
            failure = livenessFailures[liveness];
        }
        catch (error) {
            failure = signal.aborted ? "no answer in time" : describeTransportError(error);
            liveness = signal.aborted ? liveness : "unanswered";
        }
        this.#options.onCheck?.(upstream, failure);
        return liveness;
    }

    /** Waits until an upstream may be asked. Returns false when that was not so in time. */
    async #waitForLimit(upstream: RegisteredUpstream, signal: AbortSignal): Promise<boolean> {
        const { checkLimit } = this.#options;
        while (checkLimit?.isAdmitted(upstream) === false && !signal.aborted) {
            await sleep(askPauseMilliseconds);
        }
        if (!signal.aborted) {
            checkLimit?.add(upstream);
        }
        return !signal.aborted;
    }

    /** Sends a request on a connection of this node, or through another node. Returns undefined when it was not sent. */
    #send(
        upstream: RegisteredUpstream,
        request: Dispatcher.RequestOptions,
        options: Parameters<UpstreamConnections["send"]>[1],
    ): Promise<Dispatcher.ResponseData | undefined> {
        const relay = this.#options.getRelay?.(upstream.pool);
        const connections = this.#getConnections(this.#connections, upstream);
        return relay === undefined
            ? connections.send(dispatcher => dispatcher.request(request), options)
            : observeSending(connections.dispatcher.compose(relay), { onSent: options.onSent }).request(request);
    }

    /** Returns the connections to an upstream, for requests of other nodes. */
    getRelayTarget(upstream: RegisteredUpstream): RelayTarget {
        const connections = this.#getConnections(this.#relayConnections, upstream);
        return {
            address: upstream.address,
            dispatcher: connections.dispatcher,
            hasRoom: () => connections.hasRoom() && (this.#options.relayLimit?.isAdmitted(upstream) ?? true),
            addRequest: () => this.#options.relayLimit?.add(upstream),
            observeHead: (status, headers) => {
                if (status !== misdirectedStatus) {
                    this.#options.onRelayedStatement?.(upstream, readStatement(headers, status));
                }
            },
        };
    }

    /** Lets requests that wait for a connection go elsewhere, or be refused, if they may not be sent any more. */
    withdrawWaiting(): void {
        for (const connections of this.#waitedFor) {
            if (connections.hasWaiting()) {
                connections.wakeAll();
            }
            else {
                this.#waitedFor.delete(connections);
            }
        }
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
        for (const known of [this.#connections, this.#relayConnections]) {
            const connections = known.get(id);
            known.delete(id);
            connections?.close();
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        for (const connections of [...this.#connections.values(), ...this.#relayConnections.values()]) {
            await connections.destroy();
        }
        this.#connections.clear();
        this.#relayConnections.clear();
    }

    #getConnections(known: Map<string, UpstreamConnections>, upstream: RegisteredUpstream): UpstreamConnections {
        const existing = known.get(upstream.id);
        if (existing !== undefined && existing.upstream.address === upstream.address) {
            return existing;
        }
        existing?.close();
        const connections = new UpstreamConnections({
            upstream,
            getLimit: () => this.#options.getConnectionLimit(upstream.pool),
            onConnectFailure: () => this.#options.onConnectFailure?.(upstream),
            onEndless: bytes => this.#options.onOversized?.(upstream, bytes),
            onWait: waited => this.#waitedFor.add(waited),
        });
        known.set(upstream.id, connections);
        return connections;
    }
}

function createRequest(upstream: RegisteredUpstream, call: UpstreamCall): Dispatcher.RequestOptions {
    return {
        origin: `http://${upstream.address}`,
        method: call.request.method as Dispatcher.HttpMethod,
        path: call.request.target,
        headers: createHeaders(upstream, call),
        body: call.request.body.length === 0 ? undefined : call.request.body,
        signal: call.signal,
        responseHeaders: "raw",
    };
}

/** Creates a request for a sign of life. Its identifier tells its answer from a late one to another request. */
function createCheck(
    { address, id }: RegisteredUpstream,
    { path, requestId, signal }: {
        readonly path: string;
        readonly requestId: string;
        readonly signal: AbortSignal;
    },
): Dispatcher.RequestOptions {
    return {
        origin: `http://${address}`,
        method: "GET",
        path,
        headers: [headerNames.requestId, requestId, headerNames.expectedRunner, id],
        signal,
        responseHeaders: "raw",
    };
}

/** Returns whether an answer is certainly one to the request that it was read for, by the upstream that was asked. */
function isSignOfLife({ headers, statusCode }: Dispatcher.ResponseData, requestId: string): boolean {
    const raw = headers as unknown as readonly string[];
    return statusCode !== misdirectedStatus && findHeader(raw, headerNames.requestId) === requestId;
}

function createHeaders(upstream: RegisteredUpstream, call: UpstreamCall): string[] {
    const { request, workspace, model, urgency, lastEventId } = call;
    const headers = [...request.headers];
    headers.push(headerNames.expectedRunner, upstream.id);
    headers.push(headerNames.deadline, String(Math.max(1, Math.floor(call.getTimeLeft()))));
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
): Result<UpstreamAnswer, UpstreamCallFailure> {
    const raw = response.headers as unknown as readonly string[];
    const statement = readStatement(raw, response.statusCode);
    const echoedId = findHeader(raw, headerNames.requestId);
    const fail = (kind: UpstreamCallFailure["kind"], reason: string): Result<never, UpstreamCallFailure> => {
        discard(response);
        return err({ kind, reason, ...statement });
    };
    if (echoedId !== call.request.id) {
        // A late answer to an earlier request, or bytes that belong to none. The request itself may run.
        destroyBody(response);
        const { isLeaving, restMilliseconds } = statement;
        return err({ kind: "broken", reason: "the answer belongs to another request", isLeaving, restMilliseconds });
    }
    if (response.statusCode === misdirectedStatus) {
        discard(response);
        // What the answer states concerns the other upstream.
        return err({ kind: "replaced", reason: "another upstream has the address" });
    }
    if (findHeader(raw, headerNames.notExecuted) !== undefined) {
        return fail("refused", `status ${response.statusCode}, not executed`);
    }
    if (notExecutedStatuses.has(response.statusCode)) {
        return fail("broken", `status ${response.statusCode} that does not state whether the request ran`);
    }
    if (response.statusCode > maxStatus) {
        return fail("broken", `status ${response.statusCode}, which is none of the protocol`);
    }
    const isSealed = findHeader(raw, headerNames.seal) !== undefined;
    if (!isSealed && response.statusCode < 300) {
        return fail("broken", "a success without the upstream's seal");
    }
    return ok({
        status: response.statusCode,
        headers: pickAnswerHeaders(raw),
        mediaType: readMediaType(raw),
        isSealed,
        confidence: findNumber(raw, headerNames.confidence),
        ...statement,
        hasKnownEnd: hasStatedEnd(call.request.method, { status: response.statusCode, headers: raw }),
        body: response.body as AsyncIterable<Buffer>,
    });
}

function readMediaType(raw: readonly string[]): string | undefined {
    return findHeader(raw, "content-type")?.split(";")[0].trim().toLowerCase();
}

/** Reads the rest of a short refusal, so that its connection can be reused. */
function discard(response: Dispatcher.ResponseData): void {
    response.body.dump().catch(() => {
        // The library then closes the connection. The headers of the refusal have already been read.
    });
}
