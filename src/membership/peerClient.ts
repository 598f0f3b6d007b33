/**
 * Calls peers over gRPC. Each call has a deadline, is sent once, and addresses its peer by IP number. The caller
 * decides which peer to call and whether to retry, so the retries and the name resolution of the library are off.
 */
import {
    type ChannelCredentials,
    type ClientOptions,
    type ClientReadableStream,
    credentials,
    Metadata,
    type ServiceError,
} from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { type Credentials, Failure } from "../common/index.js";
import {
    type CopyBillsReply,
    type CopyBillsRequest,
    type DecideClaimsReply,
    type DecideClaimsRequest,
    type ExchangeReply,
    type ExchangeRequest,
    type FetchStateReply,
    type FetchStateRequest,
    PeerClient as GeneratedClient,
    type PushReply,
    type PushRequest,
    type RelayPart,
    type RelayRequest,
} from "../generated/peer.js";
import type { GossipTransport, PeerAddress } from "./peerAddress.js";
import { newestProtocol, protocolKey } from "./protocol.js";
import { StateQueryStream } from "./stateQueryStream.js";

const defaultDeadlineMilliseconds = 1_000;
/** Time to connect to a peer that is to forward a request, whose caller waits. */
const relayConnectMilliseconds = 300;
/** A connection without calls is closed after this time. Gossip would otherwise hold one to each of 350 nodes. */
const idleTimeoutMilliseconds = 60_000;
const initialBackoffMilliseconds = 200;
const maxBackoffMilliseconds = 2_000;
/** Detects connections whose other end vanished without closing them, for example behind a network partition. */
const keepaliveIntervalMilliseconds = 5_000;
const keepaliveTimeoutMilliseconds = 2_000;

type UnaryCall<Request, Reply> = (
    request: Request,
    metadata: Metadata,
    options: { deadline: number; },
    callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

/** Options of a client. */
export interface PeerClientOptions {
    /** For mutual TLS. Connections are not encrypted without it. */
    readonly credentials?: Credentials;
    /** Deadline of calls that specify no timeout. */
    readonly deadlineMilliseconds?: number;
    /** The newest protocol that this program reads. */
    readonly newestProtocol?: number;
}

/** Calls peers. */
export class PeerClient {
    readonly #deadlineMilliseconds: number;
    readonly #clients = new Map<string, GeneratedClient>();
    readonly #stateStreams = new Map<string, StateQueryStream>();
    readonly #newestProtocol: number;
    /** Created with the first call, because a starting node serves callers before it loads what calls to peers need. */
    #metadata: Metadata | undefined;
    #credentials: Credentials | undefined;

    constructor(options: PeerClientOptions = {}) {
        this.#credentials = options.credentials;
        this.#newestProtocol = options.newestProtocol ?? newestProtocol;
        this.#deadlineMilliseconds = options.deadlineMilliseconds ?? defaultDeadlineMilliseconds;
    }

    /**
     * Uses other credentials for connections that are opened from now on. Calls in flight finish on the old ones.
     * @param peerCredentials - The renewed credentials.
     */
    setCredentials(peerCredentials: Credentials): void {
        this.#credentials = peerCredentials;
        this.close();
    }

    /** Closes all connections. */
    close(): void {
        for (const stateStream of this.#stateStreams.values()) {
            stateStream.close("the client was closed");
        }
        this.#stateStreams.clear();
        for (const client of this.#clients.values()) {
            client.close();
        }
        this.#clients.clear();
    }

    /**
     * Closes the connections to all peers except the given ones.
     * @param peers - The peers to retain.
     */
    retain(peers: Iterable<PeerAddress>): void {
        const targets = new Set([...peers].map(getTarget));
        for (const [target, client] of this.#clients) {
            if (!targets.has(target)) {
                this.#stateStreams.get(target)?.close("the peer was removed");
                this.#stateStreams.delete(target);
                client.close();
                this.#clients.delete(target);
            }
        }
    }

    /** Returns a gossip transport that uses this client. */
    createGossipTransport(): GossipTransport {
        return {
            exchange: async (peer, request) => (await this.exchange(peer, request)).unwrapOr(undefined),
            push: async (peer, request) => (await this.push(peer, request)).isOk(),
        };
    }

    /** Exchanges gossip state. */
    exchange(peer: PeerAddress, request: ExchangeRequest): Promise<Result<ExchangeReply, Failure>> {
        const client = this.#getClient(peer);
        return this.#call(client.exchange.bind(client), request);
    }

    /** Pushes urgent gossip values. */
    push(peer: PeerAddress, request: PushRequest): Promise<Result<PushReply, Failure>> {
        const client = this.#getClient(peer);
        return this.#call(client.push.bind(client), request);
    }

    /** Sends bills to a peer, which stores replicas of them. */
    copyBills(
        peer: PeerAddress,
        request: CopyBillsRequest,
        timeoutMilliseconds?: number,
    ): Promise<Result<CopyBillsReply, Failure>> {
        const client = this.#getClient(peer);
        return this.#call(client.copyBills.bind(client), request, timeoutMilliseconds);
    }

    /** Requests decisions on claims from a collector. */
    decideClaims(
        peer: PeerAddress,
        request: DecideClaimsRequest,
        timeoutMilliseconds?: number,
    ): Promise<Result<DecideClaimsReply, Failure>> {
        const client = this.#getClient(peer);
        return this.#call(client.decideClaims.bind(client), request, timeoutMilliseconds);
    }

    /** Fetches folded state. */
    fetchState(
        peer: PeerAddress,
        request: FetchStateRequest,
        timeoutMilliseconds?: number,
    ): Promise<Result<FetchStateReply, Failure>> {
        const client = this.#getClient(peer);
        return this.#call(client.fetchState.bind(client), request, timeoutMilliseconds);
    }

    /**
     * Fetches folded state on a call that stays open between queries.
     * @param peer - The peer to query.
     * @param request - The query.
     * @param timeoutMilliseconds - Timeout of the answer.
     */
    followState(
        peer: PeerAddress,
        request: FetchStateRequest,
        timeoutMilliseconds: number,
    ): Promise<Result<FetchStateReply, Failure>> {
        const target = getTarget(peer);
        let stateStream = this.#stateStreams.get(target);
        if (stateStream === undefined) {
            stateStream = new StateQueryStream({
                open: () => this.#getClient(peer).followState(this.#getMetadata()),
                onTimeout: () => this.#closeClient(target),
            });
            this.#stateStreams.set(target, stateStream);
        }
        return stateStream.query(request, timeoutMilliseconds);
    }

    /**
     * Opens a call on which a peer forwards a request to an upstream.
     * @param peer - The peer.
     * @param request - The request.
     * @returns The call, or undefined when no connection to the peer was established, so that it has received nothing.
     */
    async relay(peer: PeerAddress, request: RelayRequest): Promise<ClientReadableStream<RelayPart> | undefined> {
        const client = this.#getClient(peer);
        const isConnected = await new Promise<boolean>(resolve => {
            client.waitForReady(Date.now() + relayConnectMilliseconds, error => resolve(error === undefined));
        });
        return isConnected ? client.relay(request, this.#getMetadata()) : undefined;
    }

    /**
     * Closes an unresponsive connection. It may stay open without carrying data, and further calls on it would time out
     * until the keepalive of the library closes it seconds later. The next call opens a new connection.
     */
    #closeClient(target: string): void {
        this.#clients.get(target)?.close();
        this.#clients.delete(target);
    }

    #getClient(peer: PeerAddress): GeneratedClient {
        const target = getTarget(peer);
        let client = this.#clients.get(target);
        if (client === undefined) {
            client = new GeneratedClient(target, this.#createCredentials(), this.#createOptions());
            this.#clients.set(target, client);
        }
        return client;
    }

    #getMetadata(): Metadata {
        if (this.#metadata === undefined) {
            this.#metadata = new Metadata();
            this.#metadata.set(protocolKey, String(this.#newestProtocol));
        }
        return this.#metadata;
    }

    #createCredentials(): ChannelCredentials {
        if (this.#credentials === undefined) {
            return credentials.createInsecure();
        }
        const { authority, key, certificate } = this.#credentials;
        return credentials.createSsl(authority, key, certificate);
    }

    #createOptions(): ClientOptions {
        const serverName = this.#credentials?.serverName;
        return {
            "grpc.service_config_disable_resolution": 1,
            "grpc.enable_retries": 0,
            "grpc.enable_http_proxy": 0,
            // Otherwise clients share connections, and a new client would reuse an unresponsive one.
            "grpc.use_local_subchannel_pool": 1,
            "grpc.client_idle_timeout_ms": idleTimeoutMilliseconds,
            "grpc.initial_reconnect_backoff_ms": initialBackoffMilliseconds,
            "grpc.max_reconnect_backoff_ms": maxBackoffMilliseconds,
            "grpc.keepalive_time_ms": keepaliveIntervalMilliseconds,
            "grpc.keepalive_timeout_ms": keepaliveTimeoutMilliseconds,
            ...serverName === undefined ? {} : { "grpc.ssl_target_name_override": serverName },
        };
    }

    #call<Request, Reply>(
        call: UnaryCall<Request, Reply>,
        request: Request,
        timeoutMilliseconds = this.#deadlineMilliseconds,
    ): Promise<Result<Reply, Failure>> {
        return new Promise(resolve => {
            call(request, this.#getMetadata(), { deadline: Date.now() + timeoutMilliseconds }, (error, reply) => {
                resolve(error ? err(createCallFailure(error)) : ok(reply));
            });
        });
    }
}

function getTarget(peer: PeerAddress): string {
    return `ipv4:${peer.address}:${peer.peerPort}`;
}

function createCallFailure(cause: ServiceError): Failure {
    return new Failure({
        kind: "unavailable",
        message: `A peer did not answer: ${cause.details}.`,
        remedy: "Query another peer, or try again.",
        cause,
    });
}
