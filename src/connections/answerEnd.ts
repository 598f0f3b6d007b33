/**
 * Decides whether an answer has ended as its upstream ended it, by what was seen on its own connection.
 *
 * The HTTP library ends an answer that has neither a length nor chunks in the same way whether its connection was closed or reset. A reset
 * behind bytes that were not read yet even reads as an orderly end. Half an answer would then pass for a whole one.
 */
import type { Socket } from "node:net";
import { Agent, type buildConnector, Client, type Dispatcher, errors, Pool } from "undici";
import { hasStatedEnd } from "./statedEnd.js";

const nothing = Buffer.alloc(0);
/** Codes of writes to a connection that was reset. */
const resetCodes: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE", "ENOTCONN"]);

/** An open connection, and how it ends. */
class AnswerConnection {
    readonly #socket: Socket;
    #wasReset = false;
    #hasEnded = false;

    /** @param socket - The connection, before the library has it. */
    constructor(socket: Socket) {
        this.#socket = socket;
        socket.on("end", () => this.#hasEnded = true);
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

/** Passes an answer on, and fails it if its connection was reset where only the connection could end it. */
class AnswerEnd implements ClientHandler {
    readonly #handler: ClientHandler;
    readonly #method: string;
    readonly #getConnection: () => AnswerConnection | undefined;
    #connection: AnswerConnection | undefined;
    #hasStatedEnd = false;
    #hasFailed = false;

    constructor(handler: ClientHandler, method: string, getConnection: () => AnswerConnection | undefined) {
        this.#handler = handler;
        this.#method = method;
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
        this.#hasStatedEnd = hasStatedEnd(this.#method, { status, headers: headers.map(String) });
        this.#connection = this.#getConnection();
        return this.#handler.onHeaders(status, headers, resume, statusText);
    }

    onData(chunk: Buffer): boolean {
        return this.#handler.onData(chunk);
    }

    onComplete(trailers: readonly Buffer[]): void {
        const connection = this.#connection;
        if (this.#hasStatedEnd || connection === undefined || !connection.isOver) {
            this.#handler.onComplete(trailers);
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

    constructor(origin: string | URL, options: Client.Options, current: CurrentConnection) {
        super(origin, options);
        this.#current = current;
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        const end = new AnswerEnd(
            handler as unknown as ClientHandler,
            options.method,
            () => this.#current.get(),
        );
        return super.dispatch(options, end as unknown as Dispatcher.DispatchHandler);
    }
}

/**
 * Creates the client of one connection in a pool of them.
 * @param origin - The upstream.
 * @param options - Its options, with a connector whose connections stay open for writing when the other side has ended.
 */
function createAnswerClient(origin: string | URL, options: object): Client {
    const current = new CurrentConnection();
    const { connect, ...rest } = options as Client.Options & { readonly connect: buildConnector.connector; };
    return new AnswerClient(origin, { ...rest, connect: current.follow(connect) }, current);
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

/** Creates the connections to one upstream, each of which carries one request at a time. */
export function createAnswerPool(origin: string, options: AnswerPoolOptions): Pool {
    return new Pool(origin, { ...options, factory: createAnswerClient });
}

/** Creates the connections to any number of upstreams. */
export function createAnswerAgent(options: AnswerPoolOptions): Agent {
    return new Agent({
        ...options,
        factory: (origin, poolOptions) =>
            new Pool(origin, { ...poolOptions as Pool.Options, factory: createAnswerClient }),
    });
}
