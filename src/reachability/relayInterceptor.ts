/**
 * Sends requests to upstreams through other nodes, as an interceptor of the HTTP library.
 */
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, errors } from "undici";
import { listHeaders } from "../connections/index.js";
import type { RelayHead, RelayPart, RelayRequest } from "../generated/peer.js";
import type { PeerAddress } from "../membership/index.js";
import { NoRoomError, NotSentError } from "../upstream/index.js";
import type { RelayPeers } from "./relayPeers.js";

/** An upstream to which other nodes forward requests. */
export interface RelayedUpstream {
    readonly id: string;
    readonly pool: string;
}

/** Options of the interceptor. */
export interface RelayInterceptorOptions {
    readonly peers: RelayPeers;
    /** Returns the upstream with an address if requests to it are forwarded by other nodes. */
    readonly findRelayed: (address: string) => RelayedUpstream | undefined;
    /** Opens a call to a node; undefined when the node certainly has received nothing. */
    readonly open: (peer: PeerAddress, request: RelayRequest) => Promise<ClientReadableStream<RelayPart> | undefined>;
}

/** Creates the interceptor. Requests whose upstream this node reaches are sent as before. */
export function createRelayInterceptor(options: RelayInterceptorOptions): Dispatcher.DispatcherComposeInterceptor {
    return dispatch => (dispatchOptions, handler) => {
        const address = new URL(String(dispatchOptions.origin)).host;
        const upstream = options.findRelayed(address);
        const request = upstream && createRequest(upstream.id, dispatchOptions);
        if (upstream === undefined || request === undefined) {
            return dispatch(dispatchOptions, handler);
        }
        void new RelayedRequest(handler).run({ ...options, pool: upstream.pool, request });
        return true;
    };
}

/** Carries one request through another node. */
class RelayedRequest implements Dispatcher.DispatchController {
    readonly #handler: Dispatcher.DispatchHandler;
    #call: ClientReadableStream<RelayPart> | undefined;
    #reason: Error | undefined;
    #hasEnded = false;
    #isPaused = false;

    constructor(handler: Dispatcher.DispatchHandler) {
        this.#handler = handler;
    }

    get aborted(): boolean {
        return this.#reason !== undefined;
    }

    get paused(): boolean {
        return this.#isPaused;
    }

    get reason(): Error | null {
        // eslint-disable-next-line no-restricted-syntax -- The library's own type.
        return this.#reason ?? null;
    }

    abort(reason: Error): void {
        this.#reason = reason;
        if (!this.#hasEnded) {
            // After its last part the call ends by itself. Resetting it then would count against the connection, which the HTTP/2 library
            // closes with all its calls after too many resets.
            this.#call?.cancel();
        }
        this.#fail(reason);
    }

    pause(): void {
        this.#isPaused = true;
        this.#call?.pause();
    }

    resume(): void {
        this.#isPaused = false;
        this.#call?.resume();
    }

    /** Sends the request and passes its answer on. */
    async run(
        { peers, pool, request, open }: RelayInterceptorOptions & {
            readonly pool: string;
            readonly request: RelayRequest;
        },
    ): Promise<void> {
        const peer = peers.choose(pool);
        if (peer === undefined) {
            this.#fail(new NotSentError("no other node reaches the upstream"));
            return;
        }
        const finish = peers.start(peer.id);
        const call = await open(peer, request);
        if (call === undefined) {
            finish();
            this.#failUnopened(peer.id, { peers, pool });
            return;
        }
        this.#call = call;
        call.on("data", (part: RelayPart) => {
            if (part.failure?.kind === "not-sent") {
                peers.pause(peer.id, pool);
            }
            this.#handlePart(part);
        });
        call.on("error", error => this.#fail(error));
        // The library reports a status for every call, but closes a stream only when it was read to its end.
        call.on("status", finish);
        call.on("close", finish);
        call.on("end", () => this.#fail(new Error(`the node ${peer.id} ended an answer too early`)));
        // The request counts as sent only now. If its caller left while the call was opened, this cancels the call, which reports an
        // error that is handled from here on.
        this.#handler.onRequestStart?.(this, undefined);
    }

    #failUnopened(peer: string, { peers, pool }: { readonly peers: RelayPeers; readonly pool: string; }): void {
        peers.pause(peer, pool);
        this.#fail(new NotSentError(`the node ${peer} did not answer`));
    }

    #handlePart({ head, data, isEnd, failure }: RelayPart): void {
        if (this.#hasEnded) {
            return;
        }
        if (head !== undefined) {
            this.#handler.onResponseStart?.(this, head.status, readHeaders(head), "");
        }
        if (data !== undefined) {
            this.#handler.onResponseData?.(this, data);
        }
        if (failure !== undefined) {
            this.#fail(createError(failure.kind, failure.reason));
        }
        if (isEnd) {
            this.#hasEnded = true;
            this.#handler.onResponseEnd?.(this, {});
        }
    }

    #fail(error: Error): void {
        if (!this.#hasEnded) {
            this.#hasEnded = true;
            this.#handler.onResponseError?.(this, error);
        }
    }
}

/** Returns undefined for a body that can be read only once, which no client of upstreams uses. */
function createRequest(upstream: string, options: Dispatcher.DispatchOptions): RelayRequest | undefined {
    const body = options.body ?? "";
    if (typeof body !== "string" && !(body instanceof Uint8Array)) {
        return undefined;
    }
    return {
        upstream,
        method: options.method,
        path: options.path,
        headers: flattenHeaders(options.headers),
        body: Buffer.from(body),
    };
}

function flattenHeaders(headers: Dispatcher.DispatchOptions["headers"]): string[] {
    return Array.isArray(headers) ? [...headers] : listHeaders((headers ?? {}) as Readonly<IncomingHttpHeaders>);
}

function readHeaders({ headers }: RelayHead): IncomingHttpHeaders {
    const read: Record<string, string | string[]> = {};
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const [name, value] = [headers[index], headers[index + 1]];
        const known = read[name];
        read[name] = known === undefined ? value : [known, value].flat();
    }
    return read;
}

function createError(kind: string, reason: string): Error {
    switch (kind) {
        case "not-sent":
            return new NotSentError(reason);
        case "no-room":
            return new NoRoomError(reason);
        case "disconnected":
            return new errors.SocketError(reason);
        default:
            return new Error(reason);
    }
}
