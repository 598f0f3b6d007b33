/**
 * Serves the calls of peers.
 */
import {
    type handleBidiStreamingCall,
    type handleServerStreamingCall,
    type handleUnaryCall,
    type Metadata,
    Server,
    ServerCredentials,
    type ServerWritableStream,
    status,
} from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { type Credentials, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import {
    type CopyBillsReply,
    type CopyBillsRequest,
    type DecideClaimsReply,
    type DecideClaimsRequest,
    type ExchangeReply,
    type ExchangeRequest,
    type FetchStateReply,
    type FetchStateRequest,
    type FollowStateReply,
    type FollowStateRequest,
    PeerService,
    type PushReply,
    type PushRequest,
    type RelayPart,
    type RelayRequest,
} from "../generated/peer.js";
import { CredentialSource } from "./peerCredentials.js";
import { oldestProtocol, protocolKey } from "./protocol.js";

const shutdownTimeoutMilliseconds = 2_000;

/** Handles one kind of call. `protocol` is the newest protocol that the caller reads. */
export type PeerHandler<Request, Reply> = (request: Request, protocol: number) => Reply | Promise<Reply>;

/** Handlers for the calls of peers. */
export interface PeerHandlers {
    readonly exchange: PeerHandler<ExchangeRequest, ExchangeReply>;
    readonly push: PeerHandler<PushRequest, PushReply>;
    readonly copyBills: PeerHandler<CopyBillsRequest, CopyBillsReply>;
    readonly decideClaims: PeerHandler<DecideClaimsRequest, DecideClaimsReply>;
    readonly fetchState: PeerHandler<FetchStateRequest, FetchStateReply>;
    /** Forwards a request to an upstream; the signal is aborted when the caller no longer waits. */
    readonly relay: (request: RelayRequest, signal: AbortSignal) => AsyncIterable<RelayPart>;
}

/** Options of a server. */
export interface PeerServerOptions {
    readonly address: string;
    /** 0 selects a free port. */
    readonly port: number;
    readonly handlers: PeerHandlers;
    readonly journal: Journal;
    /** For mutual TLS. Connections are not encrypted without it. */
    readonly credentials?: Credentials;
}

/** Serves the calls of peers. */
export class PeerServer {
    readonly #options: PeerServerOptions;
    readonly #server = new Server();
    readonly #credentialSource: CredentialSource | undefined;

    constructor(options: PeerServerOptions) {
        this.#options = options;
        this.#credentialSource = options.credentials === undefined
            ? undefined
            : new CredentialSource(options.credentials);
        const { handlers } = options;
        this.#server.addService(PeerService, {
            exchange: this.#adapt(handlers.exchange),
            push: this.#adapt(handlers.push),
            copyBills: this.#adapt(handlers.copyBills),
            decideClaims: this.#adapt(handlers.decideClaims),
            fetchState: this.#adapt(handlers.fetchState),
            followState: this.#adaptStream(handlers.fetchState),
            relay: this.#adaptRelay(handlers.relay),
        });
    }

    /**
     * Starts listening.
     * @returns The port.
     */
    start(): Promise<Result<number, Failure>> {
        const { address, port } = this.#options;
        const serverCredentials = this.#credentialSource?.createServerCredentials()
            ?? ServerCredentials.createInsecure();
        return new Promise(resolve => {
            this.#server.bindAsync(`${address}:${port}`, serverCredentials, (error, boundPort) => {
                resolve(error ? err(createBindFailure(address, port, error)) : ok(boundPort));
            });
        });
    }

    /** Stops listening, and waits a short time for calls in flight. */
    async stop(): Promise<void> {
        await new Promise<void>(resolve => {
            const timer = setTimeout(() => {
                this.#server.forceShutdown();
                resolve();
            }, shutdownTimeoutMilliseconds);
            this.#server.tryShutdown(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    /**
     * Renews the credentials without a restart.
     * @param credentials - The renewed credentials.
     */
    setCredentials(credentials: Credentials): void {
        this.#credentialSource?.set(credentials);
    }

    #adapt<Request, Reply>(handler: PeerHandler<Request, Reply>): handleUnaryCall<Request, Reply> {
        return async (call, callback) => {
            try {
                const reply = await handler(call.request, readProtocol(call.metadata));
                // eslint-disable-next-line no-restricted-syntax -- The callback of the library does not accept undefined.
                callback(null, reply);
            }
            catch (error) {
                // An exception in a handler must fail only its call. Uncaught, it would end the process.
                this.#options.journal.write(events.peerCallFailed, { cause: String(error) });
                callback({ code: status.INTERNAL, details: "the handler failed" });
            }
        };
    }

    #adaptRelay(handler: PeerHandlers["relay"]): handleServerStreamingCall<RelayRequest, RelayPart> {
        return async call => {
            const controller = new AbortController();
            call.on("cancelled", () => controller.abort());
            // The peer disconnected, so there is no recipient for the rest.
            call.on("error", () => controller.abort());
            try {
                for await (const part of handler(call.request, controller.signal)) {
                    if (controller.signal.aborted) {
                        return;
                    }
                    if (!call.write(part)) {
                        await waitForDrain(call, controller.signal);
                    }
                }
            }
            catch (error) {
                this.#options.journal.write(events.peerCallFailed, { cause: String(error) });
            }
            finally {
                call.end();
            }
        };
    }

    #adaptStream(
        handler: PeerHandler<FetchStateRequest, FetchStateReply>,
    ): handleBidiStreamingCall<FollowStateRequest, FollowStateReply> {
        return call => {
            const protocol = readProtocol(call.metadata);
            const answer = async ({ id, question }: FollowStateRequest): Promise<void> => {
                try {
                    call.write({ id, answer: question && await handler(question, protocol) });
                }
                catch (error) {
                    this.#options.journal.write(events.peerCallFailed, { cause: String(error) });
                    call.write({ id, answer: undefined });
                }
            };
            call.on("data", (request: FollowStateRequest) => void answer(request));
            call.on("end", () => call.end());
            // The peer disconnected during a query, so there is no recipient for the answer.
            call.on("error", () => undefined);
        };
    }
}

/** Waits until a call takes more data or its caller is gone. */
function waitForDrain(call: ServerWritableStream<RelayRequest, RelayPart>, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        call.once("drain", resolve);
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

/** Returns the newest protocol that a caller reads. The oldest release does not send it. */
function readProtocol(metadata: Metadata): number {
    const protocol = Number(metadata.get(protocolKey)[0]);
    return Number.isInteger(protocol) ? protocol : oldestProtocol;
}

function createBindFailure(address: string, port: number, cause: Error): Failure {
    return new Failure({
        kind: "unavailable",
        message: `The port ${port} for peers on ${address} could not be opened.`,
        remedy: "Check the address and port in the settings, and that no other process uses them.",
        cause,
    });
}
