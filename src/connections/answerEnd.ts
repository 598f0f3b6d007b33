/**
 * Decides whether an answer has ended as its upstream ended it, by what was seen on its own connection.
 *
 * The HTTP library ends an answer that has neither a length nor chunks in the same way whether its connection was closed or reset. A reset
 * behind bytes that were not read yet even reads as an orderly end. Half an answer would then pass for a whole one.
 */
import type { Socket } from "node:net";
import { Agent, type buildConnector, Client, type Dispatcher, errors, Pool } from "undici";
import { type AnswerHead, hasStatedEnd } from "./statedEnd.js";

const nothing = Buffer.alloc(0);
/** Statuses below are those of interim answers. */
const minFinalStatus = 200;
/** Codes of writes to a connection that was reset. */
const resetCodes: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE", "ENOTCONN"]);

/** An open connection, and how it ends. */
class AnswerConnection {
    readonly #socket: Socket;
    #wasReset = false;
    #hasEnded = false;
    #hasEndedEarly = false;

    /** @param socket - The connection, before the library has it. */
    constructor(socket: Socket) {
        this.#socket = socket;
        socket.on("end", () => {
            this.#hasEnded = true;
            this.#hasEndedEarly = socket.writableLength > 0;
        });
        socket.on("error", cause => {
            // The library closes connections with errors of its own classes.
            if (!(cause instanceof errors.UndiciError)) {
                this.#wasReset = true;
            }
        });
    }

    /** Whether an answer that ends now ends with the connection. One without a body does not. */
    get isOver(): boolean {
        return this.#hasEnded || this.#wasReset || this.#socket.destroyed;
    }

    /**
     * Whether the other side ended the connection before all of the request was written to it. It has not read that request, and what it has
     * sent may be a part of an answer.
     */
    get hasEndedEarly(): boolean {
        return this.#hasEndedEarly;
    }

    /** Closes the connection now. */
    close(): void {
        this.#socket.destroy();
    }

    /** Returns whether the connection was closed in order. A write of nothing tells, as it fails on a connection that was reset. */
    hasEndedInOrder(): Promise<boolean> {
        if (this.#wasReset || !this.#hasEnded) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            this.#socket.write(
                nothing,
                error => resolve(!resetCodes.has((error as NodeJS.ErrnoException | undefined)?.code)),
            );
        });
    }
}

/**
 * What a pool of the library hands to its clients for each request: the interface of its handlers before the present one, with headers
 * as alternating names and values.
 */
interface ClientHandler {
    onConnect(abort: (reason: Error) => void, context: unknown): void;
    onResponseStarted?(): void;
    onUpgrade?(status: number, headers: readonly Buffer[], socket: Socket): void;
    onHeaders(status: number, headers: readonly Buffer[], resume: () => void, statusText: string): boolean;
    onData(chunk: Buffer): boolean;
    onComplete(trailers: readonly Buffer[]): void;
    onError(error: Error): void;
}

/**
 * Returns whether the head of an answer belongs to the request that waits for one on its connection.
 * @param request - The request.
 * @param head - The head, with alternating names and values as its headers.
 */
export type AnswerCheck = (request: Dispatcher.DispatchOptions, head: AnswerHead) => boolean;

/**
 * Passes an answer on, and fails it if its connection was reset where only the connection could end it. Closes the connection behind an
 * answer that belongs to no request of it: what follows cannot be attributed either.
 */
class AnswerEnd implements ClientHandler {
    readonly #handler: ClientHandler;
    readonly #request: Dispatcher.DispatchOptions;
    readonly #isOwn: AnswerCheck;
    readonly #getConnection: () => AnswerConnection | undefined;
    #connection: AnswerConnection | undefined;
    #hasStatedEnd = false;
    #hasFailed = false;
    #isForeign = false;

    constructor(
        handler: ClientHandler,
        request: Dispatcher.DispatchOptions,
        { isOwn, getConnection }: {
            readonly isOwn: AnswerCheck;
            readonly getConnection: () => AnswerConnection | undefined;
        },
    ) {
        this.#handler = handler;
        this.#request = request;
        this.#isOwn = isOwn;
        this.#getConnection = getConnection;
    }

    onConnect(abort: (reason: Error) => void, context: unknown): void {
        this.#handler.onConnect(abort, context);
    }

    onResponseStarted(): void {
        this.#handler.onResponseStarted?.();
    }

    onUpgrade(status: number, headers: readonly Buffer[], socket: Socket): void {
        this.#handler.onUpgrade?.(status, headers, socket);
    }

    onHeaders(status: number, headers: readonly Buffer[], resume: () => void, statusText: string): boolean {
        const head = { status, headers: headers.map(String) };
        this.#hasStatedEnd = hasStatedEnd(this.#request.method, head);
        this.#connection = this.#getConnection();
        this.#isForeign = status >= minFinalStatus && !this.#isOwn(this.#request, head);
        return this.#handler.onHeaders(status, headers, resume, statusText);
    }

    onData(chunk: Buffer): boolean {
        return this.#handler.onData(chunk);
    }

    onComplete(trailers: readonly Buffer[]): void {
        const connection = this.#connection;
        if (this.#isForeign) {
            connection?.close();
        }
        if (this.#hasStatedEnd || connection === undefined || !connection.isOver) {
            this.#handler.onComplete(trailers);
            return;
        }
        if (connection.hasEndedEarly) {
            this.onError(new errors.SocketError("the connection was closed before the request was written"));
            return;
        }
        void connection.hasEndedInOrder().then(isInOrder => {
            if (isInOrder && !this.#hasFailed) {
                this.#handler.onComplete(trailers);
            }
            else if (!this.#hasFailed) {
                this.onError(
                    new errors.SocketError("the connection was reset before the end of an answer without a length"),
                );
            }
        });
    }

    onError(error: Error): void {
        this.#hasFailed = true;
        this.#handler.onError(error);
    }
}

/** The connection of a client, which the library opens and replaces. */
class CurrentConnection {
    #connection: AnswerConnection | undefined;

    get(): AnswerConnection | undefined {
        return this.#connection;
    }

    /** Returns a connector whose connections are the current one from their opening on. */
    follow(connect: buildConnector.connector): buildConnector.connector {
        return (options, callback) => {
            connect(options, (...result) => {
                const [, socket] = result;
                if (socket) {
                    this.#connection = new AnswerConnection(socket);
                }
                callback(...result);
            });
        };
    }
}

/** A client with one connection, whose answers fail where it was reset before their end. */
class AnswerClient extends Client {
    readonly #current: CurrentConnection;
    readonly #isOwn: AnswerCheck;

    constructor(origin: string | URL, options: Client.Options, current: CurrentConnection, isOwn: AnswerCheck) {
        super(origin, options);
        this.#current = current;
        this.#isOwn = isOwn;
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        const end = new AnswerEnd(handler as unknown as ClientHandler, options, {
            isOwn: this.#isOwn,
            getConnection: () => this.#current.get(),
        });
        return super.dispatch(options, end as unknown as Dispatcher.DispatchHandler);
    }
}

/**
 * Creates the client of one connection in a pool of them.
 * @param origin - The upstream.
 * @param options - Its options, with a connector whose connections stay open for writing when the other side has ended.
 * @param isOwn - Tells the answers to its requests from others.
 */
function createAnswerClient(origin: string | URL, options: object, isOwn: AnswerCheck): Client {
    const current = new CurrentConnection();
    const { connect, ...rest } = options as Client.Options & { readonly connect: buildConnector.connector; };
    return new AnswerClient(origin, { ...rest, connect: current.follow(connect) }, current, isOwn);
}

/** Options with a connector, which opens connections with `halfOpen`. */
export type AnswerPoolOptions = Omit<Pool.Options, "factory" | "connect"> & {
    readonly connect: buildConnector.connector;
};

/**
 * Options of connectors: without them, a socket that was ended by the other side reports any write as failed. The library closes it at
 * once.
 */
export const halfOpen = { allowHalfOpen: true } as const;

/**
 * Creates the connections to one upstream, each of which carries one request at a time.
 * @param origin - The upstream.
 * @param options - Options of the library.
 * @param isOwn - Tells the answers to its requests from others.
 */
export function createAnswerPool(origin: string, options: AnswerPoolOptions, isOwn: AnswerCheck): Pool {
    return new Pool(origin, {
        ...options,
        factory: (client, clientOptions) => createAnswerClient(client, clientOptions, isOwn),
    });
}

/** Creates the connections to any number of upstreams. */
export function createAnswerAgent(options: AnswerPoolOptions): Agent {
    return new Agent({
        ...options,
        factory: (origin, poolOptions) =>
            createAnswerPool(String(origin), poolOptions as AnswerPoolOptions, () => true),
    });
}
